#!/usr/bin/env bash
# Runs one test program without the test cases that KNOWN-RED.txt lists for it
# as known failures, and prints the omitted cases: run_test_program.sh <program>
# [arguments].
set -euo pipefail
program="$1"
shift
root="$(cd "$(dirname "$0")/.." && pwd)"
arguments=("$@")
while IFS= read -r line; do
    entry="${line%%|*}"
    entry="${entry%"${entry##*[![:space:]]}"}"
    if [ "${entry%%: *}" = "$(basename "$program")" ]; then
        echo "known red, left out: $line"
        # Excludes this case. If all patterns are exclusions, Catch2 runs every
        # other case.
        arguments+=("~${entry#*: }")
    fi
done < <(grep -v '^#' "$root/KNOWN-RED.txt" || true)
exec "$program" ${arguments[@]+"${arguments[@]}"}
