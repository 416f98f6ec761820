#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python (3.11 or later) without dependencies: nothing is compiled. Checks that
# they can be read and that the entry has been built by the deploy file.
cd "$(dirname "$0")" || exit 2
python3 -B -c 'import ast, sys; [ast.parse(open(path, encoding="utf-8").read(), path) for path in sys.argv[1:]]' \
  standins2.py $(ls -d 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py 2>/dev/null) || exit 1
test -x ../target/src/anvilsaddled/anvilsaddled
