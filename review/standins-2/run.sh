#!/usr/bin/env bash
# Plays a script case: run.sh CASE FOLDER [TROUBLE]. Writes FOLDER/record.txt. Exits with 1 if the rule
# was broken, 0 if it held and 2 if the case could not run. TROUBLE, an argument or else the variable of
# that name, is 0 to leave the disruption out.
# Each background job gets a process group of its own, which ends a node with its supervisor.
set -uom pipefail
case_name=$1
case_dir=$(cd "$2" && pwd)
trouble=${3:-${TROUBLE:-1}}
cd "$(dirname "$0")/../.."
node=(target/bin/dragonflysill-node --metrics-port 9464)
[ -x "${node[0]}" ] && [ -x target/review-2/review-fleet ] || exit 2
run_dir=$(mktemp -d)
pids=()
# Starts node N, and again whenever it ends, as the platform does.
supervise() {
    exec 2>/dev/null
    while true; do
        DRAGONFLYSILL_SETTINGS=$run_dir/node-$1.json "${node[@]}" >>"$run_dir/node-$1.log" 2>&1 &
        echo $! >"$run_dir/node-$1.pid"
        wait $!
        sleep 0.3
    done
}
stop_all() {
    disown -a
    for pid in "${pids[@]}"; do
        kill -KILL -- -"$pid" 2>/dev/null
    done
    [ -f "$run_dir/record.txt" ] && cp "$run_dir/record.txt" "$case_dir/record.txt"
    [ -n "${KEEP_LOGS:-}" ] && echo "logs in $run_dir" || rm -rf "$run_dir"
}
trap stop_all EXIT
# Addresses of its own for each run, so that all ports are free.
host=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1)).1
TROUBLE=$trouble target/review-2/review-fleet "$case_name" "$run_dir" "$host" >"$run_dir/standin.log" 2>&1 &
standin=$!
pids+=("$standin")
for n in 1 2 3; do
    for _ in $(seq 200); do
        [ -s "$run_dir/node-$n.json" ] && break
        sleep 0.05
    done
    supervise "$n" &
    pids+=($!)
done
wait "$standin"
result=$?
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
