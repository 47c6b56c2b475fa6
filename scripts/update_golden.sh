#!/usr/bin/env bash
# Writes the golden files anew from the built test program and shows what
# changed. With test case names as arguments, only those sessions.
set -euo pipefail
cd "$(dirname "$0")/.."
BRONZEHUB_UPDATE_GOLDEN=1 "${BUILD_DIR:-build}/tests/golden/golden_test" "$@"
git --no-pager diff -- tests/golden
