#!/usr/bin/env bash
# Runs all benchmarks listed below and prints one JSON line per result. Exits 0
# if every benchmark ran, whether or not it met its targets. Builds first;
# SKIP_BUILD=1 uses the existing programs in build/ instead. Takes about six
# minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -z "${SKIP_BUILD:-}" ]; then
    scripts/install_packages.sh
    scripts/build.sh build >&2
fi
build/bench/fairness/fairness_bench --seed=1
build/bench/fairness/fairness_bench --slopes
build/bench/configuration/configuration_bench
build/bench/membership/membership_bench
build/bench/capacity/capacity_bench
build/bench/peer/peer_bench
python3 scripts/bench_path.py build
