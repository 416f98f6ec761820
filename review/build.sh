#!/usr/bin/env bash
# Prepares the stand-ins. They are Python programs, so this only checks that they compile; the
# daemon itself comes from the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
python3 - <<'PY'
import glob
for path in ["standins.py", *glob.glob("[0-9]/*.py")]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
