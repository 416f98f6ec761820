#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are Python files that need no package, so they are only checked.
cd "$(dirname "$0")" || exit 1
exec python3 -B - standins3.py 1?/case*.py <<'PROGRAM'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PROGRAM
