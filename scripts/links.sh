# Functions for measurements of the request path: entry processes with a view file, without a
# control process. Source this file after scripts/lib.sh. Ports: base+10*i the i-th entry (from 1),
# base+10*i+1 its admin address, base+200+i the i-th backend server (from 0).

bin=build/bin

entry_address() { echo "127.0.0.1:$((port_base + 10 * $1))"; }
entry_admin_address() { echo "127.0.0.1:$((port_base + 10 * $1 + 1))"; }
backend_address() { echo "127.0.0.1:$((port_base + 200 + $1))"; }

# list_of FUNCTION FIRST LAST: prints the addresses, separated by commas.
list_of() {
    local i out=""
    for i in $(seq "$2" "$3"); do
        out+="${out:+,}$($1 "$i")"
    done
    echo "$out"
}

# write_view BACKENDS ENTRIES DEADLINE_MS [SLOTS]: writes $run_dir/view.json with one
# service on one pool.
write_view() {
    jq -n --argjson backends "$1" --argjson entries "$2" --argjson deadline "$3" \
        --argjson slots "${4:-8}" --argjson base "$((port_base + 200))" '
        [{key: "/dragonflysill/head", value: {number: 1, id: "measurement"}},
         {key: "/dragonflysill/objects/pool/pool", value: {name: "pool"}},
         {key: "/dragonflysill/objects/service/service",
          value: {name: "service", pool: "pool", slots_per_instance: $slots,
                  routes: [{path_prefix: "/", deadline_ms: $deadline, repeatable: true},
                           {path_prefix: "/once", deadline_ms: $deadline, repeatable: false}]}}]
        + [range($backends) | {key: "/dragonflysill/instances/backend-\(.)",
          value: {name: "backend-\(.)", address: "127.0.0.1:\($base + .)",
                  zone: "zone-\(. % 3)", pool: "pool", epoch: 1, phase: "serving"}}]
        + [range($entries) | {key: "/dragonflysill/entries/entry-\(. + 1)",
          value: {name: "entry-\(. + 1)", region: "local", zone: "zone-\(. % 3)",
                  peer_address: "", operator_address: "", entry_address: "",
                  admin_address: "", incarnation: 1}}]' >"$run_dir/view.json"
}

# start_backend I [OPTION...]: starts the I-th backend stand-in.
start_backend() {
    local i=$1
    shift
    start "backend-$i" "$bin/backend-standin" --listen "$(backend_address "$i")" \
        --name "backend-$i" --seed "$i" "$@"
    await_http "$(backend_address "$i")" "/standin/runs?summary=1"
}

# start_entry I [OPTION...]: starts the I-th entry process with the view of write_view.
start_entry() {
    local i=$1
    shift
    start "entry-$i" "$bin/dragonflysill-entry" --name "entry-$i" --region local \
        --zone "zone-$(((i - 1) % 3))" --listen "$(entry_address "$i")" \
        --admin-listen "$(entry_admin_address "$i")" --view-file "$run_dir/view.json" "$@"
    await_http "$(entry_admin_address "$i")" /readyz
}

# behave I JSON: sets the faults of the I-th backend server.
behave() {
    curl -fsS --max-time 5 -X POST -d "$2" "http://$(backend_address "$1")/standin/behaviour" >/dev/null
}

# metric I NAME: prints the sum of a metric of the I-th entry process over all labels.
metric() {
    curl -fsS "http://$(entry_admin_address "$1")/metrics" |
        awk -v name="$2" 'index($0, name) == 1 { sum += $NF } END { print sum + 0 }'
}

# write_report NAME SEED FIGURES: writes build/bench/NAME.json from a JSON array of figures, each
# {name, value, unit, bound?, target?, baseline?}; bound is "at-most" or "at-least". Returns 1 if a
# target is missed.
write_report() {
    mkdir -p build/bench
    jq -n --arg name "$1" --argjson seed "$2" --argjson figures "$3" '
        {name: $name, seed: $seed, figures: [$figures[] | {
            name, value, unit, target: (.target // null), baseline: (.baseline // null),
            met: (if .bound == "at-most" then .value <= .target
                  elif .bound == "at-least" then .value >= .target else null end)}]}' \
        >"build/bench/$1.json"
    jq -r '.name as $n | .figures[] | "\($n): \(.name) = \(.value) \(.unit)"
        + (if .target != null then ", target \(.target)" else "" end)
        + (if .baseline != null then ", baseline \(.baseline)" else "" end)
        + (if .met == false then ", NOT MET" else "" end)' "build/bench/$1.json"
    jq -e 'all(.figures[]; .met != false)' "build/bench/$1.json" >/dev/null
}
