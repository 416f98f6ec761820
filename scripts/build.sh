#!/usr/bin/env bash
# Configures and builds. Usage: build.sh [BUILD_DIRECTORY [CMAKE_ARGUMENTS...]]
set -euo pipefail
cd "$(dirname "$0")/.."
# Shared object cache between work trees.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
directory=${1:-build}
shift || true
cmake -S . -B "$directory" -G Ninja "$@" > /dev/null
ninja -C "$directory"
