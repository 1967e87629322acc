#!/usr/bin/env bash
# Runs the named measurements, or all; "--list" lists them. Writes build/bench/NAME.json.
set -uo pipefail
cd "$(dirname "$0")/.."
names() {
    find bench -mindepth 1 -maxdepth 1 -type d -name 'bench-*' -printf '%f\n' | sed 's/^bench-//'
    find bench -mindepth 1 -maxdepth 1 -name '*.sh' -printf '%f\n' | sed 's/\.sh$//'
}
if [ "${1:-}" = "--list" ]; then
    names | sort
    exit 0
fi
scripts/build.sh >/dev/null || exit 1
mkdir -p build/bench
mapfile -t selected < <(if [ $# -gt 0 ]; then printf '%s\n' "$@"; else names | sort; fi)
failed=0
for name in "${selected[@]}"; do
    if [ -f "bench/$name.sh" ]; then
        timeout 300 bash "bench/$name.sh" || failed=1
    elif [ -x "build/bin/bench-$name" ]; then
        timeout 300 "build/bin/bench-$name" || failed=1
    else
        echo "no measurement '$name'; scripts/bench.sh --list shows them" >&2
        failed=1
    fi
done
exit $failed
