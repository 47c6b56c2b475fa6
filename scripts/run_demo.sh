#!/usr/bin/env bash
# Runs a demonstration on loopback with three daemons in two failure domains.
# Test servers (stand-ins) take the place of the platform, two model engines and
# two plain HTTP servers. Sends calls through each daemon, adds an organisation
# to the configuration, prints the responses and the cost units that each
# organisation received, and shuts everything down. Installs packages and builds
# first; SKIP_BUILD=1 uses the existing programs in build/ instead.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -z "${SKIP_BUILD:-}" ]; then
    scripts/install_packages.sh
    scripts/build.sh build
fi
exec python3 scripts/demo.py build
