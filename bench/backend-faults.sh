#!/usr/bin/env bash
# Slow, failing, hanging and half-open backend servers: one of 9, then a third of the pool. Checks
# that no caller waits past the deadline and that retries add at most 10 % of load.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
source scripts/links.sh
seed=1
deadline=500
healthy='{"slow_factor": 1, "fail_rate": 0, "hang": false, "half_open": false}'

write_view 9 2 "$deadline"
for i in $(seq 0 8); do start_backend "$i" --service-ms 10; done
sum() { echo $(($(metric 1 "$1") + $(metric 2 "$1"))); }

figures='[]'
# case_of NAME FAULT COUNT: measures one case with COUNT faulty backend servers.
case_of() {
    local i retries
    # Restart the entry processes to clear the ejections of the previous case.
    for i in 1 2; do start_entry "$i" --stop-grace-ms 0; done
    for i in $(seq 0 $(($3 - 1))); do behave "$i" "$2"; done
    "$bin/dragonflysill-load" --targets "$(list_of entry_address 1 2)" --rate 800 --duration-s 4 \
        --connections 200 --deadline-ms "$deadline" --seed "$seed" --json "$run_dir/load.json" >/dev/null
    retries=$(sum dragonflysill_entry_retries_total)
    for i in 1 2; do stop "entry-$i"; done
    for i in $(seq 0 $(($3 - 1))); do behave "$i" "$healthy"; done
    figures=$(jq --argjson figures "$figures" --argjson retries "$retries" \
        --arg name "$1, $3 of 9" --argjson deadline "$deadline" '
        def rounded: . * 1000 | round / 1000;
        $figures + [
            {name: "longest wait, \($name)", value: (.longest_ms | rounded), unit: "ms",
             bound: "at-most", target: $deadline},
            {name: "extra load from retries, \($name)", value: ($retries / .attempts | rounded),
             unit: "ratio", bound: "at-most", target: 0.1},
            {name: "incorrect responses, \($name)", value: .wrong_answers, unit: "responses",
             bound: "at-most", target: 0},
            {name: "good share, \($name)", value: (.good / .attempts | rounded), unit: "ratio"}]' \
        "$run_dir/load.json")
}
for count in 1 3; do
    case_of slow '{"slow_factor": 100}' "$count"
    case_of failing '{"fail_rate": 1}' "$count"
    case_of hanging '{"hang": true}' "$count"
    case_of half-open '{"half_open": true}' "$count"
done
write_report backend-faults "$seed" "$figures"
