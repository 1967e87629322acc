#!/usr/bin/env bash
# Sends 20,000 keyed requests on a route that must run at most once, 20 % of them repeated through
# another entry process, while one entry process is paused, one is killed and restarted, and the
# store is down, loses answers, loses requests and closes connections.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
source scripts/fleet.sh
seed=${SEED:-20261204}
requests=${REQUESTS:-20000}
rate=${RATE:-500}
entries=4
backends=6

faults() {
    curl -fsS -o /dev/null -d "$1" "http://$platform_address/standin/faults"
}

# The view of all entry processes, which is constant because there are no control processes.
view=$run_dir/view.json
jq -n --argjson base "$((port_base + 200))" --argjson backends "$backends" \
    --argjson entries "$entries" '
    [range($backends) | {name: "pay-\(.)", address: "127.0.0.1:\($base + .)", zone: "z\(. % 2)",
                         rack: "r\(.)"}] as $instances
    | [{key: "/dragonflysill/head", value: {number: 1, id: "first"}},
       {key: "/dragonflysill/objects/pool/pay", value: {name: "pay", ticket: 1,
            max_unavailable: 1, instances: $instances}},
       {key: "/dragonflysill/objects/service/pay", value: {name: "pay", ticket: 1, pool: "pay",
            mean_rate_per_s: 500, routes: [{path_prefix: "/pay", deadline_ms: 2000,
            repeatable: false}]}}]
      + [$instances[] | {key: "/dragonflysill/instances/\(.name)", value: (. + {pool: "pay",
            epoch: 1, phase: "serving"})}]
      + [range($entries) | {key: "/dragonflysill/entries/entry-\(. + 1)", value: {
            name: "entry-\(. + 1)", region: "r", zone: "z0", peer_address: "", operator_address: "",
            entry_address: "", admin_address: "", incarnation: 1}}]' >"$view"

start_claim_entry() {
    start "entry-$1" "$bin/dragonflysill-entry" --name "entry-$1" --zone "z$(($1 % 2))" \
        --listen "$(entry_address "$1")" --admin-listen "$(entry_admin_address "$1")" \
        --view-file "$view" --store "$platform_address"
    await_http "$(entry_admin_address "$1")" /readyz
}

start_platform
backend_list=""
for n in $(seq 0 $((backends - 1))); do
    start "backend-$n" "$bin/backend-standin" --listen "$(backend_address "$n")" \
        --name "pay-$n" --service-ms 5 --seed "$((seed + n))"
    await_http "$(backend_address "$n")" /standin/behaviour
    backend_list+="${backend_list:+,}$(backend_address "$n")"
done
for n in $(seq "$entries"); do
    start_claim_entry "$n"
done

start load "$bin/dragonflysill-load" --targets "$(list_of entry_address "$entries")" \
    --admin "$(list_of entry_admin_address "$entries")" --backends "$backend_list" \
    --mix "POST /pay keyed body=200" --rate "$rate" --duration-s "$((requests / rate + 20))" \
    --requests "$requests" --connections 256 --deadline-ms 2000 --repeat-share 0.2 \
    --seed "$seed" --json "$run_dir/load.json"
sleep 3
kill -STOP "${pid_of[entry-1]}"
sleep 3
kill -CONT "${pid_of[entry-1]}"
sleep 1
faults '{"lose_answers":20}'
sleep 3
kill_now entry-2
sleep 2
start_claim_entry 2
faults '{"down":true}'
sleep 2
faults '{"down":false,"lose_requests":10,"lose_answers":10}'
sleep 3
faults '{"drop":true}'
sleep 1
faults '{"drop":false,"delay_ms":30}'
kill -STOP "${pid_of[entry-3]}"
faults '{"lose_answers":10,"garbage_answers":5}'
sleep 4
kill -CONT "${pid_of[entry-3]}"
faults '{"delay_ms":0}'
wait "${pid_of[load]}" || { cat "$run_dir/load.log"; exit 1; }
unset "pid_of[load]"

mkdir -p build/bench
calls=$(curl -fsS "http://$platform_address/standin/calls" | jq .store_total)
jq --argjson calls "$calls" '
    def none($name; $value): {name: $name, value: $value, unit: "requests", target: 0,
        baseline: null, met: ($value == 0)};
    def count($name; $value; $unit): {name: $name, value: $value, unit: $unit, target: null,
        baseline: null, met: null};
    {name: "claims-processes", seed, figures: [
        none("keys run twice"; .doubled_runs),
        none("\"not run\" that ran"; .false_not_run),
        none("wrong answers"; .wrong_answers),
        count("attempts"; .attempts; "requests"),
        count("answered"; .answered; "requests"),
        count("not run"; .not_run; "requests"),
        count("unknown outcomes"; .unknown; "requests"),
        count("interrupted by the kill"; .interrupted; "requests"),
        count("store calls per 1000 attempts"; ($calls * 1000 / .attempts); "calls"),
        count("latency, median"; .p50_ms; "ms"),
        count("latency, 99th percentile"; .p99_ms; "ms")]}' "$run_dir/load.json" \
    >build/bench/claims-processes.json
jq -r '.figures[] | "  \(.name): \(.value) \(.unit)"' build/bench/claims-processes.json
jq -e '[.figures[].met] | all(. != false)' build/bench/claims-processes.json >/dev/null
