#!/usr/bin/env bash
# Installs packages, builds, and shows the whole path on loopback: a platform,
# two model engines and two plain servers as stand-ins, and three daemons in
# two failure domains. Sends calls through each daemon, prints the responses
# and the service that each organisation received, and shuts everything down.
# SKIP_BUILD=1 uses the programs in build/ as they are.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -z "${SKIP_BUILD:-}" ]; then
    scripts/install_packages.sh
    scripts/build.sh build
fi
exec python3 scripts/demo.py build
