#!/usr/bin/env bash
# Installs the libraries into a temporary prefix, builds examples/embedded against them, once by CMake
# and once by pkg-config, and runs both programs. Usage: check-package.sh [BUILD_DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

ninja -C "$build" anvilsaddle_protocol > /dev/null
cmake --install "$build" --prefix "$work/prefix" --component library > /dev/null
# The example must not reach headers of the source tree.
cp -r examples/embedded "$work/example"

cmake -S "$work/example" -B "$work/build" -G Ninja -DCMAKE_PREFIX_PATH="$work/prefix" > /dev/null
cmake --build "$work/build" > /dev/null
echo "== CMake package"
"$work/build/embedded"

config=$(dirname "$(find "$work/prefix" -name anvilsaddle.pc)")
flags=$(PKG_CONFIG_PATH=$config pkg-config --cflags --libs anvilsaddle)
# shellcheck disable=SC2086  # the flags are a list of words
g++ -std=c++20 "$work/example/main.cpp" -o "$work/by-pkg-config" $flags
echo "== pkg-config"
"$work/by-pkg-config"
