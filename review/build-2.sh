#!/usr/bin/env bash
# Builds the stand-ins of the review's cases 6 to 10 into target/review-2/, with the project's own
# stand-in of the platform. The node comes from the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile() {
    local object=$2/$(echo "$1" | tr / _).o
    [ "$object" -nt "$1" ] || g++ -std=c++20 -O1 -Iinclude -Iplatform -Iplatform/standin -Isrc/net \
        -Isrc/jobs -c "$1" -o "$object"
}
export -f compile
sources=(src/base/*.cpp src/net/*.cpp src/jobs/*.cpp platform/*.cpp platform/standin/*.cpp
    review/standins-2/*.cpp)
printf '%s\n' "${sources[@]}" | xargs -P 6 -I{} bash -c 'compile "$1" "$2"' _ {} "$out"
g++ -o "$out/review-fleet" "$out"/*.o -lpthread
echo "built $out/review-fleet"
