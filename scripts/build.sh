#!/usr/bin/env bash
# Installs what is missing and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
[ -f build/build.ninja ] || cmake -S . -B build -G Ninja >/dev/null
cmake --build build
