#!/usr/bin/env bash
set -u
scenario=pending-without-room
source "$(dirname "$0")/../case.sh"
