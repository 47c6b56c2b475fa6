#!/usr/bin/env bash
# Runs real processes on loopback under faults and judges them by the journals
# of the stand-ins: run_faults.sh [--seed N] [--seconds S]. Prints one JSON
# line a count and exits non-zero when a count passes its bound. Builds first;
# SKIP_BUILD=1 uses the programs in build/ as they are.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -z "${SKIP_BUILD:-}" ]; then
    scripts/install_packages.sh
    scripts/build.sh build
fi
exec python3 scripts/fault_run.py build "$@"
