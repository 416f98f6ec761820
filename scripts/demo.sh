#!/usr/bin/env bash
# Runs six entries, a fake store and twelve fake targets on loopback addresses, sends requests for ten
# seconds, and prints their outcomes. Usage: demo.sh [BUILD_DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/soak/soak.py --calm --seconds 10 --binary "${1:-build}/src/anvilsaddled/anvilsaddled"
