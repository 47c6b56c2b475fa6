#!/usr/bin/env bash
# Installs the Debian 12 packages that the build, the checks and the tests
# need. Does nothing if all are installed.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache pkg-config git python3
    clang-format-19 clang-tidy-19
    librestinio-dev libhttp-parser-dev libasio-dev libfmt-dev libnghttp2-dev
    libcurl4-openssl-dev libssl-dev libboost-dev libdocopt-dev
    liblog4cplus-dev libabsl-dev nlohmann-json3-dev libmsgpack-cxx-dev
    liburcu-dev catch2 librapidcheck-dev
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
