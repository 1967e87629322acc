#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start, into build/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin -B build/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build/review -j4
