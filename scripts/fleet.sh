# Functions that start a whole deployment on this machine. Source this file after scripts/lib.sh.
# Ports: base for the platform, from base+10*i for the i-th entry instance (from 1), from base+200 for
# the backend servers.

bin=build/bin
platform_address=127.0.0.1:$port_base

entry_address() { echo "127.0.0.1:$((port_base + 10 * $1))"; }
entry_admin_address() { echo "127.0.0.1:$((port_base + 10 * $1 + 1))"; }
peer_address() { echo "127.0.0.1:$((port_base + 10 * $1 + 2))"; }
operator_address() { echo "127.0.0.1:$((port_base + 10 * $1 + 3))"; }
control_admin_address() { echo "127.0.0.1:$((port_base + 10 * $1 + 4))"; }
backend_address() { echo "127.0.0.1:$((port_base + 200 + $1))"; }

# local_ticket FILE: prints the ticket with local addresses for all instances. Ports are assigned in
# the order of the instance names, so that all tickets with the same names get the same addresses.
local_ticket() {
    jq --argjson base "$((port_base + 200))" --slurpfile names "$run_dir/instance-names.json" '
        if .pools then .pools |= map(if .instances then .instances |= map(
            .name as $n | .address = "127.0.0.1:\($base + ($names[0] | index($n)))") else . end)
        else . end' "$1"
}

# name_instances FILE...: assigns a fixed number to every instance named in the tickets.
name_instances() {
    jq -s '[.[].pools[]?.instances[]?.name] | unique' "$@" >"$run_dir/instance-names.json"
}

start_platform() {
    start platform "$bin/platform-standin" --listen "$platform_address" "$@"
    await_http "$platform_address" /standin/calls
}

# publish_instances TICKET: sets the instances of the platform stand-in to those of the ticket.
publish_instances() {
    jq '{instances: [.pools[].instances[] | {name, zone, rack, address, state: "live"}]}' "$1" |
        curl -fsS -X POST -H 'Content-Type: application/json' --data-binary @- "http://$platform_address/standin/instances" >/dev/null
}

# start_backends TICKET [OPTION...]: starts a backend stand-in for each instance of a local ticket.
start_backends() {
    local ticket=$1 name address
    shift
    while read -r name address; do
        start "backend-$name" "$bin/backend-standin" --listen "$address" --name "$name" "$@"
    done < <(jq -r '.pools[].instances[] | "\(.name) \(.address)"' "$ticket")
    while read -r address; do
        await_http "$address" /standin/runs
    done < <(jq -r '.pools[].instances[].address' "$ticket")
}

# start_control I ZONE [OPTION...]: starts the control process of the I-th entry instance.
start_control() {
    local i=$1 zone=$2
    shift 2
    start "control-$i" "$bin/dragonflysill-control" --name "entry-$i" --region local --zone "$zone" \
        --store "$platform_address" --platform "$platform_address" \
        --peer-listen "$(peer_address "$i")" --operator-listen "$(operator_address "$i")" \
        --admin-listen "$(control_admin_address "$i")" \
        --entry-address "$(entry_address "$i")" \
        --entry-admin-address "$(entry_admin_address "$i")" "$@"
}

# start_entry I ZONE [OPTION...]: starts the entry process of the I-th entry instance.
start_entry() {
    local i=$1 zone=$2
    shift 2
    start "entry-$i" "$bin/dragonflysill-entry" --name "entry-$i" --region local --zone "$zone" \
        --listen "$(entry_address "$i")" --admin-listen "$(entry_admin_address "$i")" \
        --control "$(peer_address "$i")" --store "$platform_address" "$@"
}

# list_of FUNCTION COUNT: prints the addresses of all entry instances, separated by commas.
list_of() {
    local i out=""
    for i in $(seq "$2"); do
        out+="${out:+,}$($1 "$i")"
    done
    echo "$out"
}

operator() {
    "$bin/dragonflysill" --control "$operators" "$@"
}
