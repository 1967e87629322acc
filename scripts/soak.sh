#!/usr/bin/env bash
# Plays seeded series of faults against real nodes beside the platform stand-in: nodes are killed,
# paused, stopped and restarted, told to read their settings, while the store and backend servers
# fail. Callers and backend servers of the stand-in check the promises; a run ends at the first
# broken one. Prints a line for each seed, and a time line of one that failed.
# Usage: scripts/soak.sh SEED...
# Settings: SOAK_NODES (default 5), SOAK_JOBS (600), KEEP_LOGS=1 keeps the logs.
set -uo pipefail
cd "$(dirname "$0")/.."
[ -x build/bin/fleet-standin ] && [ -x build/bin/dragonflysill-node ] || scripts/build.sh >/dev/null
source scripts/lib.sh
bin=build/bin
node_count=${SOAK_NODES:-5}
jobs=${SOAK_JOBS:-600}
spacing_ms=25
first_port=${DRAGONFLYSILL_PORT_BASE:-26000}

now_ms() { echo $(($(date +%s%N) / 1000000)); }
note() { echo "signal $(($(now_ms) - started)) ms: $*" >>"$dir/standin.log"; }
start_node() { DRAGONFLYSILL_SETTINGS="$dir/$1.json" start "$1" "$bin/dragonflysill-node" --metrics-port 0; }

# signal_nodes LENGTH_MS: sends a seeded series of signals, several of which overlap.
signal_nodes() {
    local -A resume_at=() restart_at=()
    local now name pause
    local next=$((started + 500))
    local end=$((started + $1))
    while kill -0 "$standin" 2>/dev/null; do
        now=$(now_ms)
        for name in "${!resume_at[@]}"; do
            [ "$now" -ge "${resume_at[$name]}" ] || continue
            kill -CONT "${pid_of[$name]}" 2>/dev/null
            note "$name resumed"
            unset "resume_at[$name]"
        done
        for name in "${!restart_at[@]}"; do
            [ "$now" -ge "${restart_at[$name]}" ] || continue
            stop "$name"
            start_node "$name"
            note "$name started"
            unset "restart_at[$name]"
        done
        if [ "$now" -ge "$next" ] && [ "$now" -lt "$end" ]; then
            name=node-$((RANDOM % node_count + 1))
            pause=$((RANDOM % 2500 + 200))
            next=$((now + RANDOM % 900 + 100))
            if [ -z "${resume_at[$name]:-}${restart_at[$name]:-}" ]; then
                case $((RANDOM % 4)) in
                0) kill_now "$name" && restart_at[$name]=$((now + pause)) && note "$name killed" ;;
                1) kill -STOP "${pid_of[$name]}" && resume_at[$name]=$((now + pause)) && note "$name paused for $pause ms" ;;
                2) kill -TERM "${pid_of[$name]}" && restart_at[$name]=$((now + pause + 3000)) && note "$name told to stop" ;;
                3) kill -HUP "${pid_of[$name]}" && note "$name told to read its settings" ;;
                esac
            fi
        fi
        sleep 0.05
    done
}

failed=0
for seed in "$@"; do
    RANDOM=$seed
    dir=$run_dir/seed-$seed
    mkdir -p "$dir"
    "$bin/fleet-standin" --first-port "$first_port" --nodes "$node_count" --jobs "$jobs" \
        --spacing-ms "$spacing_ms" --settings-folder "$dir" --seed "$seed" --fault-seed "$seed" \
        >>"$dir/standin.log" 2>&1 &
    standin=$!
    for n in $(seq "$node_count"); do
        for _ in $(seq 100); do
            [ -s "$dir/node-$n.json" ] && break
            sleep 0.05
        done
        start_node "node-$n"
    done
    started=$(now_ms)
    signal_nodes $((jobs * spacing_ms))
    wait "$standin"
    result=$?
    [ -z "${KEEP_LOGS:-}" ] || cp "$run_dir"/node-*.log "$dir/"
    stop_all
    pid_of=()
    if [ "$result" = 0 ]; then
        echo "seed $seed: kept ($(grep -c '^fault\|^signal' "$dir/standin.log") faults, $(grep -h '^completed\|^late' "$dir/standin.log" | paste -sd' '))"
    else
        failed=$((failed + 1))
        echo "seed $seed: FAILED; time line and tally:"
        sed 's/^/    /' "$dir/standin.log"
    fi
    first_port=$((first_port + 200))
done
[ -z "${KEEP_LOGS:-}" ] || echo "logs: $run_dir"
[ "$failed" = 0 ]
