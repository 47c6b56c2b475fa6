#!/usr/bin/env bash
# Runs every measurement and prints one JSON line a figure. Exits 0 when it
# measured, whether or not targets are met. Builds first; SKIP_BUILD=1 uses the
# programs in build/ as they are. Takes about six minutes.
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
