#!/usr/bin/env bash
# Runs the soak test with injected faults on the programs in build/, once per
# seed: run_soak.sh <first seed> <last seed> [seconds per seed]. Runs four seeds
# at a time, or $JOBS. Prints the seeds that failed and keeps their output in
# build/soak/.
set -uo pipefail
cd "$(dirname "$0")/.."
first="$1"
last="$2"
seconds="${3:-8}"
mkdir -p build/soak
seq "$first" "$last" | xargs -P "${JOBS:-4}" -I{} sh -c \
    "timeout 120 python3 tests/soak/soak.py build/bin/bronzehub-entryd \
        --seed {} --seconds $seconds >build/soak/{}.txt 2>&1 &&
     { grep '^known red' build/soak/{}.txt; rm build/soak/{}.txt; } ||
     echo 'seed {} failed: build/soak/{}.txt'"
