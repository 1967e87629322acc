#!/usr/bin/env bash
# Sends 100,000 requests, of which a tenth get a random delay that often exceeds the deadline. Counts
# responses that belong to another request or are delivered as answered after the deadline.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
source scripts/links.sh
seed=1

write_view 4 2 100 64
for i in 0 1 2 3; do
    start_backend "$i" --slots 64 --connections 200 --service-ms 1
    behave "$i" '{"late_rate": 0.05, "late_ms": 400}'
done
for i in 1 2; do start_entry "$i"; done
"$bin/dragonflysill-load" --targets "$(list_of entry_address 1 2)" --rate 4000 --duration-s 60 \
    --requests 100000 --connections 200 --deadline-ms 100 --seed "$seed" \
    --mix "GET /a weight=3, POST /b body=200, POST /once/c body=50" \
    --backends "$(list_of backend_address 0 3)" --json "$run_dir/load.json" >/dev/null
write_report late-answers "$seed" "$(jq '[
    {name: "requests", value: .attempts, unit: "requests", bound: "at-least", target: 100000},
    {name: "incorrect responses", value: .wrong_answers, unit: "responses", bound: "at-most", target: 0},
    {name: "late responses delivered as answered", value: .late_answers, unit: "responses",
     bound: "at-most", target: 0},
    {name: "false not-run results", value: .false_not_run, unit: "responses", bound: "at-most", target: 0},
    {name: "interrupted requests", value: .interrupted, unit: "requests", bound: "at-most", target: 0},
    {name: "requests with unknown outcome", value: .unknown, unit: "requests"}]' "$run_dir/load.json")"
