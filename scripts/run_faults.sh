#!/usr/bin/env bash
# Injects faults into a fleet of processes on loopback and checks the results
# against the calls that the test servers (stand-ins) recorded: run_faults.sh
# [--seed N] [--seconds S]. Prints one JSON line per count and exits non-zero if
# a count exceeds its bound. Installs packages and builds first;
# SKIP_BUILD=1 uses the existing programs in build/ instead.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -z "${SKIP_BUILD:-}" ]; then
    scripts/install_packages.sh
    scripts/build.sh build
fi
exec python3 scripts/fault_run.py build "$@"
