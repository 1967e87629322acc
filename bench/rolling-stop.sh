#!/usr/bin/env bash
# Stops and restarts each entry process and each backend server in turn under load. A stopping
# backend server refuses requests before it closes its connections.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
source scripts/links.sh
seed=1
entries=3
backends=4

write_view "$backends" "$entries" 1000
for i in $(seq 0 $((backends - 1))); do start_backend "$i" --service-ms 10; done
for i in $(seq "$entries"); do start_entry "$i"; done
"$bin/dragonflysill-load" --targets "$(list_of entry_address 1 "$entries")" \
    --admin "$(list_of entry_admin_address 1 "$entries")" --rate 500 --duration-s 25 \
    --connections 100 --mix "GET /a, POST /once/b body=100" --seed "$seed" \
    --json "$run_dir/load.json" >/dev/null &
load=$!
sleep 1
for i in $(seq "$entries"); do
    stop "entry-$i"
    start_entry "$i"
    sleep 1
done
for i in $(seq 0 $((backends - 1))); do
    stop "backend-$i"
    start_backend "$i" --service-ms 10
    sleep 1
done
wait "$load"
write_report rolling-stop "$seed" "$(jq '[
    {name: "requests", value: .attempts, unit: "requests"},
    {name: "interrupted requests", value: (.interrupted + .unknown), unit: "requests",
     bound: "at-most", target: 0},
    {name: "unreached requests", value: .unreached, unit: "requests", bound: "at-most", target: 0},
    {name: "incorrect responses", value: .wrong_answers, unit: "responses", bound: "at-most", target: 0},
    {name: "good share", value: (.good / .attempts), unit: "ratio"}]' "$run_dir/load.json")"
