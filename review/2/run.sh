#!/usr/bin/env bash
set -u
trouble=${TROUBLE:-1} # 0 leaves out the disruption.
scenario=restart-under-same-id
source "$(dirname "$0")/../case.sh"
