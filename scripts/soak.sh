#!/usr/bin/env bash
# Plays seeded series of faults against real nodes beside the platform stand-in: nodes are killed,
# paused, stopped, restarted, removed for good and added, and told to read their settings, while the
# store, the links and backend servers fail. The stand-in checks the promises from what callers and
# backend servers see; a run ends at the first broken one. Prints a line for each seed, and the time
# line of one that failed.
# Usage: scripts/soak.sh SEED...
# A seed may break a promise that KNOWN-RED.txt names for it, in a line "test: soak SEED: TEXT" with a
# part of the message; it is printed and does not fail the run.
# Settings: SOAK_NODES (default 5), SOAK_JOBS (600), SOAK_WORKERS for each pool (4), SOAK_SPACING_MS
# (25), SOAK_RESTARTS=1 (backend servers also restart under their ids, then the owner of the schedule
# is killed and they are cut off), SOAK_BIN (folder of the programs), SOAK_NODE (node to play),
# KEEP_LOGS=1 keeps the logs.
set -uo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
bin=${SOAK_BIN:-build/bin}
[ -x "$bin/fleet-standin" ] && [ -x "$bin/dragonflysill-node" ] || scripts/build.sh >/dev/null
node_program=${SOAK_NODE:-$bin/dragonflysill-node}
node_count=${SOAK_NODES:-5}
jobs=${SOAK_JOBS:-600}
workers=${SOAK_WORKERS:-4}
spacing_ms=${SOAK_SPACING_MS:-25}
restart_flags=()
[ -z "${SOAK_RESTARTS:-}" ] || restart_flags=(--restarts true)
# Below the ports that the system gives to outgoing connections.
port_base=${DRAGONFLYSILL_PORT_BASE:-20000}
first_port=$port_base
# Time after which a killed owner starts again.
owner_down_ms=2000
# Ports of the store, the machines and the backend servers, with room for instances that are added.
node_port_offset=$((4 * workers + 100))
proxy_port_offset=$((node_port_offset + 3 * (node_count + 1)))
ports_per_seed=$((proxy_port_offset + 4 * workers + 3 * (node_count + 1) + 100))

now_ms() { echo $(($(date +%s%N) / 1000000)); }
note() { echo "signal $(($(now_ms) - started)) ms: $*" >>"$dir/standin.log"; }
declare -A started_at=()
start_node() {
    started_at[$1]=$(now_ms)
    DRAGONFLYSILL_SETTINGS="$dir/$1.json" start "$1" "$node_program" --metrics-port 0
}

# signal_nodes LENGTH_MS: sends a seeded series of signals, several of which overlap. The node with
# the highest number is added in the course of the series, and node 1 may be removed for good.
signal_nodes() {
    local -A resume_at=() restart_at=()
    local now name pause
    local killed=0
    local kills=()
    local next=$((started + 500))
    local end=$((started + $1))
    local add_at=$((started + RANDOM % $1))
    local remove_at=$((started + RANDOM % (2 * $1)))
    while kill -0 "$standin" 2>/dev/null; do
        now=$(now_ms)
        if [ "$add_at" != 0 ] && [ "$now" -ge "$add_at" ]; then
            add_at=0
            start_node "node-$((node_count + 1))"
            note "node-$((node_count + 1)) added"
        fi
        if [ "$remove_at" != 0 ] && [ "$now" -ge "$remove_at" ] && [ "$now" -lt "$end" ]; then
            remove_at=0
            kill_now node-1
            unset 'resume_at[node-1]' 'restart_at[node-1]'
            note "node-1 removed"
        fi
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
        # The stand-in names the owner of the schedule when it must be killed.
        mapfile -t kills < <(sed -n 's/^kill [0-9]* ms: //p' "$dir/standin.log")
        for name in "${kills[@]:$killed}"; do
            killed=$((killed + 1))
            [ -n "${pid_of[$name]:-}" ] || continue
            kill_now "$name"
            unset "resume_at[$name]"
            restart_at[$name]=${restart_at[$name]:-$((now + owner_down_ms))}
            note "$name killed, the owner"
        done
        if [ "$now" -ge "$next" ] && [ "$now" -lt "$end" ]; then
            name=node-$((RANDOM % node_count + 1))
            pause=$((RANDOM % 2500 + 200))
            next=$((now + RANDOM % 900 + 100))
            if [ -n "${pid_of[$name]:-}" ] && [ -z "${resume_at[$name]:-}${restart_at[$name]:-}" ]; then
                case $((RANDOM % 4)) in
                0) kill_now "$name" && restart_at[$name]=$((now + pause)) && note "$name killed" ;;
                1) kill -STOP "${pid_of[$name]}" && resume_at[$name]=$((now + pause)) && note "$name paused for $pause ms" ;;
                2) kill -TERM "${pid_of[$name]}" && restart_at[$name]=$((now + pause + 3000)) && note "$name told to stop" ;;
                # Before a program has set its handlers, the signal would end it.
                3) [ "$now" -gt $((started_at[$name] + 500)) ] && kill -HUP "${pid_of[$name]}" && note "$name told to read its settings" ;;
                esac
            fi
        fi
        sleep 0.05
    done
    # A node that ended by itself is a finding.
    for name in "${!pid_of[@]}"; do
        [ -n "${restart_at[$name]:-}" ] || kill -0 "${pid_of[$name]}" 2>/dev/null ||
            { note "$name ended by itself"; return 1; }
    done
}

# is_known_red SEED LOG: returns whether KNOWN-RED.txt names each broken promise in the log.
is_known_red() {
    local text
    text=$(sed -n "s/^test: soak $1: //p" KNOWN-RED.txt)
    [ -n "$text" ] && grep -q '^broken' "$2" && ! grep '^broken' "$2" | grep -qvF "$text"
}

failed=0
for seed in "$@"; do
    RANDOM=$seed
    dir=$run_dir/seed-$seed
    mkdir -p "$dir"
    rm -f "$run_dir"/node-*.log
    "$bin/fleet-standin" --first-port "$first_port" --first-node-port $((first_port + node_port_offset)) \
        --first-proxy-port $((first_port + proxy_port_offset)) --nodes $((node_count + 1)) \
        --jobs "$jobs" --spacing-ms "$spacing_ms" --workers-per-pool "$workers" --settings-folder "$dir" \
        --cancel-every 7 --long-task-every 8 --seed "$seed" --fault-seed "$seed" "${restart_flags[@]}" \
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
    signals=$?
    wait "$standin"
    result=$?
    [ -z "${KEEP_LOGS:-}" ] || cp "$run_dir"/node-*.log "$dir/"
    stop_all
    pid_of=()
    if [ "$result" = 0 ] && [ "$signals" = 0 ]; then
        echo "seed $seed: kept ($(grep -c '^fault\|^signal\|^change' "$dir/standin.log") faults and changes, $(grep -h '^accepted\|^completed\|^cancelled\|^late\|^shortened' "$dir/standin.log" | paste -sd' '))"
    elif [ "$signals" = 0 ] && is_known_red "$seed" "$dir/standin.log"; then
        echo "seed $seed: known red (KNOWN-RED.txt); time line and tally:"
        sed 's/^/    /' "$dir/standin.log"
    else
        failed=$((failed + 1))
        echo "seed $seed: FAILED; time line and tally:"
        sed 's/^/    /' "$dir/standin.log"
    fi
    # A closed port may stay in use for a while.
    first_port=$((first_port + ports_per_seed))
    [ "$first_port" -lt $((port_base + 3 * ports_per_seed)) ] || first_port=$port_base
done
[ -z "${KEEP_LOGS:-}" ] || echo "logs: $run_dir"
[ "$failed" = 0 ]
