#!/usr/bin/env bash
# Runs all tests: a build with warnings as errors, then every CTest test.
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${1:-build}
shift || true
scripts/build.sh "$directory" "$@"
ctest --test-dir "$directory" --output-on-failure -j "$(nproc)"
