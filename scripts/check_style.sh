#!/usr/bin/env bash
# Runs clang-format and clang-tidy on the given files, or on all C++ files if
# none are given. Needs a configured build directory ($BUILD_DIR, default
# build/).
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir="${BUILD_DIR:-build}"
jobs="${JOBS:-$(nproc)}"
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' '*.hpp')
fi
clang-format-19 --dry-run -Werror "${files[@]}"

printf '%s\n' "${files[@]}" | { grep '\.cpp$' || true; } |
    xargs -r -P "$jobs" -n 1 scripts/lint_file.sh "$build_dir"
