#!/bin/sh
# Case 15; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
