#!/usr/bin/env bash
# Lints one source file: lint_file.sh <build directory> <file>. Prints only
# findings; the counts of suppressed system-header warnings are left out.
set -uo pipefail
output=$(clang-tidy-19 -p "$1" --quiet "$2" 2>/dev/null)
status=$?
if [ "$status" -ne 0 ]; then
    printf '%s: lint failed\n%s\n' "$2" "$output"
fi
exit "$status"
