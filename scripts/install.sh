#!/usr/bin/env bash
# Installs every Debian package that the build, the tests and the linter need.
set -euo pipefail
packages=(
    cmake g++ make ninja-build ccache pkg-config clang-format clang-tidy curl jq
    prometheus-cpp-dev libcpp-httplib-dev libcli11-dev libspdlog-dev libboost-test-dev
    libflatbuffers-dev nlohmann-json3-dev librapidcheck-dev libbenchmark-dev
    libboost-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
