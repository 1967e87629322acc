#!/usr/bin/env bash
# Sends a burst of 5 times the mean rate, which is twice the pool's capacity, for 10 s, and measures
# again from 2 s after its end; with the default policy and with the baseline (first in, first out,
# round robin).
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
source scripts/links.sh
seed=1
backends=8
entries=6
service_ms=80
capacity=$((backends * 8 * 1000 / service_ms))
mean=$((capacity * 2 / 5))

write_view "$backends" "$entries" 500
for i in $(seq 0 $((backends - 1))); do start_backend "$i" --service-ms "$service_ms"; done

# run POLICY: runs the burst and the check after it; writes results to $run_dir/POLICY*.json.
run() {
    local i refused
    for i in $(seq "$entries"); do start_entry "$i" --policy "$1" --stop-grace-ms 0; done
    "$bin/dragonflysill-load" --targets "$(list_of entry_address 1 "$entries")" --rate "$mean" \
        --duration-s 13 --burst-factor 5 --burst-from-s 3 --burst-s 10 --quiet-factor 0.05 \
        --connections 600 --deadline-ms 500 --seed "$seed" --json "$run_dir/$1.json" >/dev/null
    sleep 1.5 # The load ends up to 0.5 s after the burst.
    "$bin/dragonflysill-load" --targets "$(list_of entry_address 1 "$entries")" --rate 100 \
        --duration-s 2 --connections 64 --deadline-ms 500 --seed "$seed" \
        --json "$run_dir/$1-after.json" >/dev/null
    refused=0
    for i in $(seq "$entries"); do
        refused=$((refused + $(metric "$i" 'dragonflysill_entry_attempts_total{result="refused"}')))
        stop "entry-$i"
    done
    jq --argjson capacity "$capacity" --argjson refused "$refused" --slurpfile after "$run_dir/$1-after.json" '
        def rounded: . * 1000 | round / 1000;
        .good_per_second[3:13] as $burst | {
            goodput: (($burst | add) / 10 / $capacity | rounded),
            worst: ([range(9) as $i | ($burst[$i] + $burst[$i + 1]) / 2] | min / $capacity | rounded),
            late: .late_answers, unknown: (.unknown / .attempts | rounded),
            refused: ($refused / .good | rounded), after: ($after[0].good / $after[0].attempts | rounded)}' \
        "$run_dir/$1.json" >"$run_dir/$1-figures.json"
}
run least-of-two
run baseline

write_report burst "$seed" "$(jq -n --slurpfile own "$run_dir/least-of-two-figures.json" \
    --slurpfile base "$run_dir/baseline-figures.json" '$own[0] as $o | $base[0] as $b | [
    {name: "goodput in the burst, share of capacity", value: $o.goodput, unit: "ratio",
     bound: "at-least", target: 0.95, baseline: $b.goodput},
    {name: "goodput in the worst 2 s of the burst, share of capacity", value: $o.worst,
     unit: "ratio", bound: "at-least", target: 0.95, baseline: $b.worst},
    {name: "late responses delivered as answered", value: $o.late, unit: "responses",
     bound: "at-most", target: 0, baseline: $b.late},
    {name: "good share 2 s after the burst", value: $o.after, unit: "ratio", bound: "at-least",
     target: 0.99, baseline: $b.after},
    {name: "requests with unknown outcome", value: $o.unknown, unit: "ratio", baseline: $b.unknown},
    {name: "refusals per good response", value: $o.refused, unit: "ratio", baseline: $b.refused}]')"
