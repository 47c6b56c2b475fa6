#!/usr/bin/env bash
# Installs packages, builds, checks format and lint, and runs all CTest tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/build.sh build
scripts/check_style.sh
ctest --test-dir build --output-on-failure --parallel 4
