# Functions for scripts that start the system's processes on this machine. Source this file from the
# root of the repository. When the script ends, every process is stopped by its id.

port_base=${DRAGONFLYSILL_PORT_BASE:-20000}
run_dir=$(mktemp -d)
declare -A pid_of=()

# start NAME COMMAND...: starts a process in the background; its output is added to $run_dir/NAME.log.
start() {
    local name=$1
    shift
    "$@" >>"$run_dir/$name.log" 2>&1 &
    pid_of[$name]=$!
}

# stop NAME: stops a process gracefully and waits until it has exited.
stop() {
    local pid=${pid_of[$1]:-}
    [ -n "$pid" ] || return 0
    kill -TERM "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
    unset "pid_of[$1]"
}

# kill_now NAME: kills a process without a graceful stop.
kill_now() {
    local pid=${pid_of[$1]:-}
    [ -n "$pid" ] || return 0
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
    unset "pid_of[$1]"
}

# await_http ADDRESS PATH: waits until a GET returns 200; fails after 15 s.
await_http() {
    local n
    for n in $(seq 300); do
        curl -fsS -o /dev/null --max-time 2 "http://$1$2" 2>/dev/null && return 0
        sleep 0.05
    done
    echo "no answer from http://$1$2" >&2
    return 1
}

stop_all() {
    local name
    for name in "${!pid_of[@]}"; do
        kill -CONT "${pid_of[$name]}" 2>/dev/null || true
        kill -TERM "${pid_of[$name]}" 2>/dev/null || true
    done
    for name in "${!pid_of[@]}"; do
        for _ in $(seq 100); do
            kill -0 "${pid_of[$name]}" 2>/dev/null || break
            sleep 0.05
        done
        kill -KILL "${pid_of[$name]}" 2>/dev/null || true
        wait "${pid_of[$name]}" 2>/dev/null || true
    done
}
trap 'stop_all; [ -n "${KEEP_LOGS:-}" ] || rm -rf "$run_dir"' EXIT
