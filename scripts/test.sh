#!/usr/bin/env bash
# Installs, builds and runs every test, then a day of three nodes beside the stand-in platform. Cases listed in KNOWN-RED.txt are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
if [ -f KNOWN-RED.txt ]; then
    echo "Passed over because of KNOWN-RED.txt:"
    grep '^test: ' KNOWN-RED.txt || echo "  none"
fi
ctest --test-dir build --output-on-failure
scripts/fleetday.sh
