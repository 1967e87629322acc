#!/usr/bin/env bash
set -u
scenario=repeated-cuts
source "$(dirname "$0")/../case.sh"
