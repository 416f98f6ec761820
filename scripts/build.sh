#!/usr/bin/env bash
# Configures and builds. Usage: build.sh [BUILD_DIRECTORY [CMAKE_ARGUMENTS...]]
set -euo pipefail
cd "$(dirname "$0")/.."
# Lets work trees in different directories share objects in the compiler cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
directory=${1:-build}
shift || true
cmake -S . -B "$directory" -G Ninja "$@" > /dev/null
ninja -C "$directory"
