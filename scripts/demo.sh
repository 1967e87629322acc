#!/usr/bin/env bash
# Installs, builds and simulates a day of a deployment on loopback: three nodes with a stand-in for
# the users' platform, callers whose queues take turns in being busy, and a maintenance wave. The
# scheduling node is killed halfway. Exits 1 if a count that must be zero is not.
# Usage: scripts/demo.sh [tubo-sul|petal-cluster]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-tubo-sul}
scripts/build.sh >/dev/null
echo "$deployment"
scripts/fleetday.sh 600 "$deployment"
