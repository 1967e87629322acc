#!/usr/bin/env bash
# Runs nodes end to end on loopback with a stand-in for the users' platform: jobs, a maintenance wave
# and operators' queries. The scheduling node is killed halfway. Exits 1 if a job is lost, a task runs
# twice or a query gets no answer.
# Usage: scripts/fleetday.sh [JOBS [tubo-sul|petal-cluster]]
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x build/bin/fleet-standin ] && [ -x build/bin/dragonflysill ] || scripts/build.sh >/dev/null
source scripts/lib.sh
bin=build/bin
first_port=${DRAGONFLYSILL_PORT_BASE:-23000}
"$bin/fleet-standin" --first-port "$first_port" --jobs "${1:-300}" \
    --deployment "${2:-tubo-sul}" \
    --settings-folder "$run_dir" >"$run_dir/standin.log" 2>&1 &
standin=$!
nodes=
for n in 1 2 3; do
    metrics_port=$((first_port + 200 + n))
    nodes+=${nodes:+,}127.0.0.1:$metrics_port
    for _ in $(seq 100); do
        [ -s "$run_dir/node-$n.json" ] && break
        sleep 0.05
    done
    DRAGONFLYSILL_SETTINGS="$run_dir/node-$n.json" start "node-$n" "$bin/dragonflysill-node" \
        --metrics-port "$metrics_port"
done
# Kill the scheduling node after it has scheduled for some time.
for _ in $(seq 200); do
    grep -q "second 4" "$run_dir/standin.log" && break
    sleep 0.05
done
owner=$(grep -l ownership-gained "$run_dir"/node-*.log | head -1 | xargs -r basename -s .log)
result=0
for question in status jobs pools delegates maintenance "explain job 0000000000000000"; do
    # shellcheck disable=SC2086
    "$bin/dragonflysill" --nodes "$nodes" node $question >"$run_dir/answer.txt" 2>&1 || {
        echo "FAILED: node $question"
        result=1
    }
    echo "dragonflysill node $question"
    head -n 8 "$run_dir/answer.txt" | sed 's/^/    /'
done
echo "killing the scheduling node, $owner"
kill_now "$owner"
wait "$standin" || result=$?
cat "$run_dir/standin.log"
if [ "$result" != 0 ]; then
    tail -n 20 "$run_dir"/node-*.log
fi
exit "$result"
