#!/usr/bin/env bash
# Runs a deployment on loopback with all pools of its first ticket and one entry instance for each
# availability zone. 10,000 requests are sent while an instance moves between pools and one entry
# stops. Exits 1 if one of the counts that must be zero is not.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-tubo-sul}
if [ ! -d "examples/$deployment" ]; then
    echo "no deployment '$deployment'; give tubo-sul or petal-cluster" >&2
    exit 2
fi
scripts/build.sh >/dev/null
source scripts/lib.sh
source scripts/fleet.sh

examples=examples/$deployment
name_instances "$examples"/ticket-000[12].json
local_ticket "$examples/ticket-0001.json" >"$run_dir/first.json"
local_ticket "$examples/ticket-0002.json" >"$run_dir/move.json"
mapfile -t zones < <(jq -r '[.pools[].instances[].zone] | unique[]' "$run_dir/first.json")
count=${#zones[@]}
operators=$(list_of operator_address "$count")

echo "$deployment: $(jq '[.pools[].instances[]] | length' "$run_dir/first.json") backend servers," \
    "$count entry instances"
start_platform
publish_instances "$run_dir/first.json"
start_backends "$run_dir/first.json" --service-ms 5 --seed 7
for i in $(seq "$count"); do
    start_control "$i" "${zones[$((i - 1))]}"
    await_http "$(control_admin_address "$i")" /healthz
    start_entry "$i" "${zones[$((i - 1))]}"
done
for i in $(seq "$count"); do
    await_http "$(entry_admin_address "$i")" /readyz
done

operator ticket validate "$run_dir/first.json" >/dev/null
operator ticket apply "$run_dir/first.json"
for _ in $(seq 200); do
    in_service=$(operator instances --json | jq '[.instances[] | select(.phase == "serving")] | length')
    [ "$in_service" = "$(jq length "$run_dir/instance-names.json")" ] && break
    sleep 0.1
done
echo "instances serving: $in_service"

mix=$(jq -r '[.services[].routes[] |
    if .repeatable then "GET \(.path_prefix)item weight=4"
    else "POST \(.path_prefix)item weight=1 keyed body=200" end] | join(",")' "$run_dir/first.json")
"$bin/dragonflysill-load" --targets "$(list_of entry_address "$count")" \
    --admin "$(list_of entry_admin_address "$count")" \
    --backends "$(jq -r '[.pools[].instances[].address] | join(",")' "$run_dir/first.json")" \
    --mix "$mix" --rate 800 --duration-s 60 --requests 10000 --deadline-ms 2000 --connections 64 \
    --seed 7 --json "$run_dir/load.json" >"$run_dir/load.log" &
load_pid=$!
sleep 3
operator ticket apply "$run_dir/move.json"
sleep 3
stop "entry-$count"
wait "$load_pid"

for _ in $(seq 150); do
    operator status --json >"$run_dir/status.json"
    [ "$(jq '.moves.open' "$run_dir/status.json")" = 0 ] && break
    sleep 0.2
done

show() { printf '%-26s %s\n' "$1" "$2"; }
figure() { jq -r "$1" "$run_dir/load.json"; }
show "requests" "$(figure .attempts)"
show "answered" "$(figure .answered)"
show "wrong answers" "$(figure .wrong_answers)"
show "doubled runs" "$(figure .doubled_runs)"
show "false \"not run\"" "$(figure .false_not_run)"
show "mixed pool starts" "$(figure .mixed_pool_starts)"
show "cut off in flight" "$(figure .interrupted)"
show "unknown outcomes" "$(figure .unknown)"
show "told \"not run\"" "$(figure .not_run)"
show "median / p99 ms" "$(figure '"\(.p50_ms) / \(.p99_ms)"')"
show "roll-out time ms" "$(jq -r '.rollout.complete_ms - .rollout.accepted_ms' "$run_dir/status.json")"
show "moves" "$(jq -r '.moves.finished' "$run_dir/status.json")"
show "buffer cost (instances)" "$(jq -r '.buffer.idle_instances' "$run_dir/status.json")"

for name in wrong_answers doubled_runs false_not_run mixed_pool_starts interrupted unreached; do
    [ "$(figure ".$name")" = 0 ] || { echo "FAILED: $name is not 0" >&2; exit 1; }
done
[ "$(figure .attempts)" = 10000 ] || { echo "FAILED: not all requests were sent" >&2; exit 1; }
[ "$(jq '.moves.finished' "$run_dir/status.json")" -ge 1 ] || { echo "FAILED: no move completed" >&2; exit 1; }
