#!/usr/bin/env bash
# Moves an instance out of a pool under load, with a store and a control process, and counts the
# requests of the old pool that start on it more than 2 s after its record changes to leaving.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
source scripts/fleet.sh
seed=1
operators=$(operator_address 1)

# ticket ID BASE WORK REST: prints a ticket with a service on pool work and the instances of both
# pools.
ticket() {
    jq -n --arg id "$1" --argjson base "$2" --argjson work "$3" --argjson rest "$4" \
        --argjson port "$((port_base + 200))" '
        def instances: map({name: "i\(.)", address: "127.0.0.1:\($port + .)",
                            zone: "zone-\(. % 3)", rack: "rack-\(.)"});
        {id: $id, base: $base, author: "measurement", reason: "drain measurement",
         pools: [{name: "work", max_unavailable: 2, instances: ($work | instances)},
                 {name: "rest", spare: true, max_unavailable: 0, instances: ($rest | instances)}]}
        + (if $base > 0 then {} else {services: [{name: "service", pool: "work", mean_rate_per_s: 100,
             slots_per_instance: 8, connections_per_instance: 64, burst_factor: 5,
             routes: [{path_prefix: "/", deadline_ms: 1000, repeatable: true}]}]} end)'
}
started_for_work() {
    curl -fsS "http://$(backend_address 4)/standin/runs?summary=1" | jq '.by_pool.work // 0'
}
phase_of_i4() { operator instances --json | jq -r '.instances[] | select(.name == "i4") | .phase'; }

ticket first 0 '[0, 1, 2, 3, 4]' '[5, 6, 7]' >"$run_dir/first.json"
ticket second 1 '[0, 1, 2, 3]' '[4, 5, 6, 7]' >"$run_dir/second.json"
start_platform
publish_instances "$run_dir/first.json"
start_backends "$run_dir/first.json" --service-ms 100 --service-shape fixed --seed "$seed"
start_control 1 zone-0
await_http "$(control_admin_address 1)" /healthz
start_entry 1 zone-0
await_http "$(entry_admin_address 1)" /readyz
operator ticket apply "$run_dir/first.json" >/dev/null
for _ in $(seq 100); do
    [ "$(phase_of_i4)" = serving ] && break
    sleep 0.1
done
"$bin/dragonflysill-load" --targets "$(entry_address 1)" --rate 200 --duration-s 14 \
    --connections 200 --deadline-ms 1000 --seed "$seed" \
    --json "$run_dir/load.json" >/dev/null &
load=$!
sleep 3
before=$(started_for_work)
operator ticket apply "$run_dir/second.json" >/dev/null
for _ in $(seq 100); do
    [ "$(phase_of_i4)" != serving ] && break
    sleep 0.05
done
sleep 2
at_limit=$(started_for_work)
wait "$load"
write_report() {
    mkdir -p build/bench
    jq --argjson before "$before" --argjson late "$(($(started_for_work) - at_limit))" \
        --argjson seed "$seed" --arg phase "$(phase_of_i4)" '
        {name: "drain", seed: $seed, figures: [
            {name: "requests started before the move", value: $before, unit: "requests",
             target: 1, met: ($before >= 1)},
            {name: "requests started later than 2 s after leaving", value: $late,
             unit: "requests", target: 0, met: ($late == 0)},
            {name: "interrupted requests", value: .interrupted, unit: "requests",
             target: 0, met: (.interrupted == 0)},
            {name: "requests with unknown outcome", value: .unknown, unit: "requests",
             target: 0, met: (.unknown == 0)},
            {name: "requests told not-run", value: .not_run, unit: "requests",
             target: 0, met: (.not_run == 0)}]}
        | .figures |= map(. + {baseline: null})' "$run_dir/load.json" >build/bench/drain.json
    jq -r '.figures[] | "drain: \(.name) = \(.value), target \(.target), met \(.met)"' build/bench/drain.json
    jq -e 'all(.figures[]; .met)' build/bench/drain.json >/dev/null
}
write_report
