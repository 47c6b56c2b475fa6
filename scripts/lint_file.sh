#!/usr/bin/env bash
# Runs clang-tidy on one source file: lint_file.sh <build directory> <file>.
# Prints only findings. The counts of suppressed warnings in system headers,
# which clang-tidy writes to stderr, are dropped.
set -uo pipefail
output=$(clang-tidy-19 -p "$1" --quiet "$2" 2>/dev/null)
status=$?
if [ "$status" -ne 0 ]; then
    printf '%s: lint failed\n%s\n' "$2" "$output"
fi
exit "$status"
