#!/usr/bin/env bash
# Regenerates the golden files with the built test program and shows the diff.
# With test case names as arguments, regenerates only the files of those cases.
set -euo pipefail
cd "$(dirname "$0")/.."
BRONZEHUB_UPDATE_GOLDEN=1 "${BUILD_DIR:-build}/tests/golden/golden_test" "$@"
git --no-pager diff -- tests/golden
