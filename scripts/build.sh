#!/usr/bin/env bash
# Builds all targets: build.sh [build directory, default build/]. ccache is set
# up to share its results between checkouts. SANITIZE=address,undefined builds
# with these sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir="${1:-build}"
jobs="${JOBS:-$(nproc)}"
export CCACHE_BASEDIR="$PWD"
export CCACHE_NOHASHDIR=1
cmake -S . -B "$build_dir" -G Ninja \
    -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
    -DCMAKE_CXX_COMPILER=g++ \
    -DBRONZEHUB_SANITIZE="${SANITIZE:-}" >/dev/null
cmake --build "$build_dir" --parallel "$jobs"
