#!/usr/bin/env bash
# Builds everything into build/ (or $1). Uses ccache, so that a second build
# of the same sources in another checkout is cheap.
# SANITIZE=address,undefined selects a sanitizer.
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
