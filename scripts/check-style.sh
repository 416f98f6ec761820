#!/usr/bin/env bash
# Checks formatting and runs the linters. Needs a configured build directory for
# compile_commands.json.
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${1:-build}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
  'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h' 'platform/*.cpp' 'platform/*.h' |
  grep -v '/gen-cpp/')
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p "$directory" --quiet --extra-arg=-Wno-unknown-warning-option 2> >(
  grep -vE 'warnings? (generated|treated)|Suppressed|Use -header-filter|^$' >&2 || true)
cppcheck --quiet --error-exitcode=1 --std=c++20 --inline-suppr --enable=warning,performance,portability \
  --suppress=missingIncludeSystem -I src/libs -I . -j "$(nproc)" \
  $(printf '%s\n' "${units[@]}" | grep -E '^(src|platform)/')
