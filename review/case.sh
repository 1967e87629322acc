# Runs a scenario of the stand-in beside nodes started with the command of the deploy file. Source
# this file from a run.sh with the scenario's name in $scenario and 0 or 1 in $trouble; it exits with the
# scenario's code.

case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.."
standin=build/review/review-standin
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
nodes=${nodes:-3}
run_dir=$(mktemp -d)
# Loopback addresses of this run, so that the ports of the deploy file are free.
network=127.$((64 + $$ % 128)).$((1 + $$ / 128 % 250))
pids=()
stop_all() {
    local pid n
    touch "$run_dir/stop"
    for n in $(seq "$nodes"); do
        [ -s "$run_dir/node-$n.pid" ] && kill -KILL "$(cat "$run_dir/node-$n.pid")" 2>/dev/null
    done
    kill -KILL "${standin_pid:-}" 2>/dev/null || true
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    [ -n "${KEEP_LOGS:-}" ] && cp "$run_dir"/*.log "$KEEP_LOGS"/
    rm -rf "$run_dir"
}
trap stop_all EXIT

# run_node N: runs a node; a node that ends is started again, as the platform does.
run_node() {
    local pid
    while [ ! -e "$run_dir/stop" ]; do
        # shellcheck disable=SC2086
        DRAGONFLYSILL_SETTINGS="$run_dir/node-$1.json" $command >>"$run_dir/node-$1.log" 2>&1 &
        pid=$!
        echo "$pid" >"$run_dir/node-$1.pid"
        wait "$pid"
        [ -e "$run_dir/stop" ] || sleep 0.5
    done
}

[ -x "$standin" ] && [ -x "${command%% *}" ] || {
    echo "build the deploy file and review/build.sh first" >&2
    exit 2
}
"$standin" "$scenario" "$trouble" "$nodes" "$run_dir" "$case_dir/record.txt" "$network" \
    >"$run_dir/standin.log" 2>&1 &
standin_pid=$!
pids+=("$standin_pid")
for n in $(seq "$nodes"); do
    for _ in $(seq 100); do
        [ -s "$run_dir/node-$n.json" ] && break
        sleep 0.05
    done
    run_node "$n" &
    pids+=("$!")
done
result=0
wait "$standin_pid" || result=$?
grep -E "(LOST|TWICE|MIXED|UNASKED|REFUSED|CONFIG|AVAIL|exit code)" "$case_dir/record.txt" || true
exit "$result"
