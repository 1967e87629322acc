#!/usr/bin/env bash
set -u
scenario=restart-under-same-id
source "$(dirname "$0")/../case.sh"
