#!/usr/bin/env bash
# Measures throughput and latency through one entry process and through a plain relay, as ratios to
# the same load sent directly to the backend stand-in. Rounds alternate between the three, and each
# result is the median of its rounds, so that other load on the machine affects all three alike.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
source scripts/links.sh
seed=1
rounds=3
seconds=1

write_view 1 1 1000 64
start_backend 0 --slots 64 --connections 200 --service-ms 0 --service-shape fixed
start_entry 1
relay="127.0.0.1:$((port_base + 100))"
start relay "$bin/plain-relay" --listen "$relay" --backend "$(backend_address 0)"
sleep 0.2

# load NAME TARGET CONNECTIONS: appends the results of one round to $run_dir/NAME-CONNECTIONS.
load() {
    "$bin/dragonflysill-load" --targets "$2" --closed --connections "$3" --duration-s "$seconds" \
        --seed "$seed" --require-zeros --json "$run_dir/round.json" >/dev/null
    jq -c '[.goodput_per_s, .p50_ms]' "$run_dir/round.json" >>"$run_dir/$1-$3"
}
median() { jq -s "map(.[$2]) | sort | .[length / 2 | floor]" "$run_dir/$1"; }

figures='[]'
for n in 1 8 32; do
    for _ in $(seq "$rounds"); do
        load direct "$(backend_address 0)" "$n"
        load relay "$relay" "$n"
        load entry "$(entry_address 1)" "$n"
    done
    figures=$(jq -n --argjson figures "$figures" --arg n "$n" \
        --argjson direct "$(median "direct-$n" 0)" --argjson entry "$(median "entry-$n" 0)" \
        --argjson relay "$(median "relay-$n" 0)" --argjson direct_ms "$(median "direct-$n" 1)" \
        --argjson entry_ms "$(median "entry-$n" 1)" --argjson relay_ms "$(median "relay-$n" 1)" '
        def rounded: . * 1000 | round / 1000;
        $figures + [
            {name: "throughput ratio to direct, \($n) connections", unit: "ratio",
             value: ($entry / $direct | rounded), bound: "at-least", target: 0.45,
             baseline: ($relay / $direct | rounded)},
            {name: "added median latency in direct round trips, \($n) connections", unit: "ratio",
             value: (($entry_ms - $direct_ms) / $direct_ms | rounded), bound: "at-most", target: 1,
             baseline: (($relay_ms - $direct_ms) / $direct_ms | rounded)}]')
done
write_report throughput "$seed" "$figures"
