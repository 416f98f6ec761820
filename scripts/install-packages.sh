#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need.
set -euo pipefail
cd "$(dirname "$0")"
missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done < packages.txt
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
