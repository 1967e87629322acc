#!/usr/bin/env bash
# Installs, builds and runs all tests, then a simulated day of three nodes with the platform stand-in
# and a short fault soak.
# Test cases listed in KNOWN-RED.txt are skipped and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
if [ -f KNOWN-RED.txt ]; then
    echo "Passed over because of KNOWN-RED.txt:"
    grep '^test: ' KNOWN-RED.txt || echo "  none"
fi
ctest --test-dir build --output-on-failure
scripts/fleetday.sh
# Seed 1 failed when a signal came before its node had begun.
scripts/soak.sh 1 2 3
