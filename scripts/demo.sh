#!/usr/bin/env bash
# Installs, builds and plays a day of a deployment on loopback: three nodes beside a stand-in of the
# users' platform, callers whose queues are busy by turns, a maintenance wave, and the end of the
# scheduling node in the middle. Exits 1 if a count that must be zero is not.
# Usage: scripts/demo.sh [tubo-sul|petal-cluster]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-tubo-sul}
scripts/build.sh >/dev/null
echo "$deployment"
scripts/fleetday.sh 600 "$deployment"
