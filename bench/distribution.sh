#!/usr/bin/env bash
# Measures the distribution of tickets over real processes: 8 entry instances in 4 availability zones
# while processes are killed and restarted and the store fails. Writes build/bench/distribution.json.
# TICKETS, MEMBERS, RATE (tickets per second), RECORDS (instance records in the store), FAULTS=0 and
# REPORT (name of the report) change the run.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

tickets=${TICKETS:-200}
members=${MEMBERS:-8}
faults=${FAULTS:-1}
rate=${RATE:-2}
records=${RECORDS:-0}
report=${REPORT:-distribution}
seed=1
RANDOM=$seed
store=127.0.0.1:$port_base
idle_seconds=10
limit_ms=2000
: >"$run_dir/outages"
: >"$run_dir/accepted"
: >"$run_dir/down"

now_ms() { date +%s%3N; }
address() { echo "127.0.0.1:$((port_base + $1 * 10 + $2))"; }

start_control() {
    start "control-$1" build/bin/dragonflysill-control --name "e$1" --zone "z$(($1 % 4))" \
        --store "$store" --platform "$store" --peer-listen "$(address "$1" 1)" \
        --operator-listen "$(address "$1" 2)" --admin-listen "$(address "$1" 3)" \
        --entry-address "$(address "$1" 4)" --entry-admin-address "$(address "$1" 5)"
}

start_entry() {
    start "entry-$1" build/bin/dragonflysill-entry --name "e$1" --zone "z$(($1 % 4))" \
        --store "$store" --control "$(address "$1" 1)" --listen "$(address "$1" 4)" \
        --admin-listen "$(address "$1" 5)"
}

admin_of() { if [ "$1" = control ]; then address "$2" 3; else address "$2" 5; fi; }

# save_timeline ROLE N: appends the events of one incarnation of a process and the time of its end.
save_timeline() {
    curl -fsS --max-time 5 "http://$(admin_of "$1" "$2")/timeline" 2>/dev/null |
        jq -c --arg process "$1-$2" --argjson finish "$(now_ms)" '{process: $process, finish: $finish,
            events: [.[] | select(.kind == "view-installed" or .kind == "process-started")]}' \
            >>"$run_dir/lives"
}

# restart ROLE N: kills a process and starts it again.
restart() {
    save_timeline "$1" "$2"
    kill_now "$1-$2"
    sleep 0.2
    "start_$1" "$2"
}

set_fault() { curl -fsS -o /dev/null -X POST -d "$1" "http://$store/standin/faults"; }

# outage JSON_ON JSON_OFF SECONDS: injects a store fault and records its time.
outage() {
    local begin
    begin=$(now_ms)
    set_fault "$1"
    sleep "$3"
    set_fault "$2"
    echo "$begin $(now_ms)" >>"$run_dir/outages"
}

inject_faults() {
    sleep 5
    restart control 1
    sleep 5
    outage '{"down":true}' '{"down":false}' 6
    sleep 5
    restart entry 2
    sleep 3
    restart control 3
    restart control 7
    sleep 5
    kill -STOP "${pid_of[control-4]}"
    local begin
    begin=$(now_ms)
    sleep 8
    kill -CONT "${pid_of[control-4]}"
    echo "control-4 entry-4 $begin $(now_ms)" >>"$run_dir/down"
    sleep 5
    outage '{"delay_ms":300}' '{"delay_ms":0}' 5
    sleep 3
    set_fault '{"lose_answers":2}'
    sleep 3
    restart entry 5
    sleep 2
    restart control 6
    sleep 5
    outage '{"down":true}' '{"down":false}' 12
    sleep 3
    restart control 2
}

# submit N: submits a ticket until a control process accepts it; repeats are idempotent by its id.
submit() {
    local body answer try
    body=$(printf '{"id":"t-%d","base":%d,"author":"bench","reason":"measurement","pools":[{"name":"changed-%d","spare":false,"max_unavailable":%d,"instances":[]}],"services":[],"jobs":[],"quotas":[],"maintenance":[]}' \
        "$1" "$last" $(($1 % 20)) $(($1 % 7)))
    for try in $(seq 200); do
        answer=$(curl -sS --max-time 3 -X POST -d "$body" \
            "http://$(address $((RANDOM % members + 1)) 2)/v1/tickets" 2>/dev/null |
            jq -r 'if .accepted then "\(.accepted.number) \(.accepted.accepted_ms)" else empty end' 2>/dev/null)
        if [ -n "$answer" ]; then
            last=${answer% *}
            echo "t-$1 $answer" >>"$run_dir/accepted"
            return 0
        fi
        sleep 0.1
    done
    return 1
}

# put_all: reads lines with key and value and writes them in batches within the store's limit.
put_all() {
    jq -c --slurp '_nwise(40) | {success: map({request_put: {key: (.key | @base64), value: (.value | tojson | @base64)}})}' |
        while read -r transaction; do
            curl -fsS -o /dev/null -X POST -H 'Content-Type: application/json' -d @- \
                "http://$store/v3/kv/txn" <<<"$transaction" || return 1
        done
}

# load_records COUNT: writes 259 pools with COUNT instances and matching instance records, so that
# the control processes have nothing to move.
load_records() {
    [ "$1" -gt 0 ] || return 0
    jq -nc --argjson count "$1" 'def declared: {name: "instance-\(.)", rack: "rack-\(. / 4 | floor)",
            address: "10.\(. / 62500 | floor).\(. / 250 | floor % 250).\(. % 250):8080", zone: "z\(. % 4)"};
        (range(259) as $p | {key: "/dragonflysill/objects/pool/pool-\($p)", value: {name: "pool-\($p)", ticket: 0,
            spare: false, max_unavailable: 2, instances: [range($p; $count; 259) | declared]}}),
        (range($count) | {key: "/dragonflysill/instances/instance-\(.)", value: (declared + {pool: "pool-\(. % 259)",
            epoch: 1, phase: "serving", target_pool: "", since_ms: 1796362445637})})' | put_all
}

calls() { curl -fsS "http://$store/standin/calls" | jq .store_total; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/${pid_of[control-$1]}/stat"; }
# zone_ticks N: prints the CPU time of the threads for membership and distribution only.
zone_ticks() {
    cat /proc/"${pid_of[control-$1]}"/task/*/stat |
        awk '/\((message-loop|registrar|store-watcher)\)/ {sum += $14 + $15} END {print sum + 0}'
}
peer_bytes() {
    curl -fsS "http://$(address "$1" 3)/metrics" |
        awk '/^dragonflysill_peer_bytes/ {sum += $2} END {printf "%d", sum}'
}
memory_kb() { awk '/VmHWM/ {print $2}' "/proc/${pid_of[control-$1]}/status"; }

# sample NAME: records the metrics of control 8, which no fault affects, and of the store.
sample() { echo "$1 $(now_ms) $(cpu_ticks "$members") $(peer_bytes "$members") $(calls) $(zone_ticks "$members")" >>"$run_dir/samples"; }

start platform build/bin/platform-standin --listen "$store"
await_http "$store" /standin/calls || exit 1
load_records "$records" || exit 1
for n in $(seq "$members"); do start_control "$n"; done
for n in $(seq "$members"); do await_http "$(address "$n" 3)" /readyz || exit 1; done
for n in $(seq "$members"); do start_entry "$n"; done
last=0
submit 0 || exit 1
for n in $(seq "$members"); do await_http "$(address "$n" 5)" /readyz || echo "entry $n is not ready" >&2; done
sleep 2
sample idle-begin
sleep "$idle_seconds"
sample idle-end

if [ "$faults" = 1 ]; then
    # Runs in this shell because it restarts processes; a subshell submits the tickets.
    sample load-begin
    {
        begin=$(now_ms)
        for k in $(seq 1 $((tickets - 1))); do
            submit "$k" || echo "t-$k" >>"$run_dir/not-accepted"
            wait_ms=$((begin + k * 1000 / rate - $(now_ms)))
            [ "$wait_ms" -gt 0 ] && sleep "$(printf '%d.%03d' $((wait_ms / 1000)) $((wait_ms % 1000)))"
        done
    } &
    submitter=$!
    inject_faults
    wait "$submitter"
else
    sample load-begin
    begin=$(now_ms)
    for k in $(seq 1 $((tickets - 1))); do
        submit "$k" || echo "t-$k" >>"$run_dir/not-accepted"
        wait_ms=$((begin + k * 1000 / rate - $(now_ms)))
        [ "$wait_ms" -gt 0 ] && sleep "$(printf '%d.%03d' $((wait_ms / 1000)) $((wait_ms % 1000)))"
    done
fi
sample load-end
sleep 3
for n in $(seq "$members"); do
    save_timeline control "$n"
    save_timeline entry "$n"
done
curl -fsS "http://$(address "$members" 2)/v1/tickets?limit=1000" >"$run_dir/history"
memory=$(memory_kb "$members")

# Analysis: a ticket must be in effect in every process that was running when it was accepted, unless
# the process was stopped or paused before the time limit. During an outage, the time limit starts at
# the end of the outage.
mkdir -p build/bench
jq -n --slurpfile lives "$run_dir/lives" --rawfile accepted "$run_dir/accepted" \
    --rawfile outages "$run_dir/outages" --rawfile down "$run_dir/down" \
    --rawfile samples "$run_dir/samples" --slurpfile history "$run_dir/history" \
    --argjson limit "$limit_ms" --argjson tickets "$tickets" --argjson memory "$memory" \
    --argjson seed "$seed" --arg report "$report" --argjson hz "$(getconf CLK_TCK)" '
def rows: split("\n") | map(select(length > 0) | split(" "));
def figure(name; value; unit; target):
    {name: name, value: value, unit: unit, target: target, baseline: null,
     met: (if target == null then null else value <= target end)};
($accepted | rows | map({id: .[0], number: (.[1] | tonumber), at: (.[2] | tonumber)})) as $acks
| ($outages | rows | map(map(tonumber))) as $out
| ($down | rows | map({names: .[0:2], from: (.[2] | tonumber), to: (.[3] | tonumber)})) as $pauses
| ($samples | rows | map({key: .[0], value: (.[1:] | map(tonumber))}) | from_entries) as $s
| [$lives[] | {process, finish,
    begin: ([.events[] | select(.kind == "process-started") | .wall_ms] | min // 0),
    installs: [.events[] | select(.kind == "view-installed")
        | {at: .wall_ms, revision: (.subject | tonumber),
           ticket: (.detail | sub("ticket "; "") | tonumber)}]}] as $lives
| [$acks[] | . as $ack
    | ([$out[] | select($ack.at >= .[0] - 1000 and $ack.at <= .[1]) | .[1]] | max // $ack.at) as $from
    | [$lives[] | . as $life
        | ([$life.installs[] | select(.ticket >= $ack.number) | .at] | min) as $effect
        | select($life.begin <= $ack.at and $life.finish > $ack.at
            and ($effect != null or $life.finish - $from > $limit)
            and ([$pauses[] | select((.names | index($life.process)) != null
                and $ack.at >= .from - $limit and $ack.at <= .to)] | length == 0))
        | if $effect == null then 999999 else ([$effect - $from, 0] | max) end]
    | {longest: (max // 0), processes: length}] as $effects
| ($effects | map(.longest) | sort) as $times
| ([$lives[] | .installs as $i | range(1; $i | length)
    | select($i[.].revision < $i[. - 1].revision or $i[.].ticket < $i[. - 1].ticket)] | length) as $reverts
| ([$history[0].tickets[] | "\(.id // .ticket.id) \(.number // .ticket.number)"] | unique) as $kept
| ([$acks[] | select(("\(.id) \(.number)" as $k | $kept | index($k)) == null)] | length) as $lost
| def rate($a; $b; $k): ($s[$b][$k] - $s[$a][$k]) / (($s[$b][0] - $s[$a][0]) / 1000);
{name: $report, seed: $seed, figures: [
    figure("tickets accepted"; $acks | length; ""; null),
    figure("tickets not accepted"; $tickets - ($acks | length); ""; 0),
    figure("in effect everywhere, median"; $times[($times | length) / 2 | floor]; "ms"; null),
    figure("in effect everywhere, p99"; $times[($times | length) * 99 / 100 | floor]; "ms"; $limit),
    figure("in effect everywhere, longest"; $times[-1]; "ms"; null),
    figure("processes compared, fewest of a ticket"; $effects | map(.processes) | min; ""; null),
    figure("reverts"; $reverts; ""; 0),
    figure("lost tickets"; $lost; ""; 0),
    figure("store calls idle"; rate("idle-begin"; "idle-end"; 3); "/s"; null),
    figure("store calls under load"; rate("load-begin"; "load-end"; 3); "/s"; null),
    figure("control processor idle"; rate("idle-begin"; "idle-end"; 1) / $hz * 100; "% core"; 4.5),
    figure("control processor under load"; rate("load-begin"; "load-end"; 1) / $hz * 100; "% core"; 4.5),
    figure("membership and distribution processor idle"; rate("idle-begin"; "idle-end"; 4) / $hz * 100; "% core"; null),
    figure("membership and distribution processor under load"; rate("load-begin"; "load-end"; 4) / $hz * 100; "% core"; null),
    figure("control memory, largest"; $memory / 1024; "MB"; 64),
    figure("control bytes idle"; rate("idle-begin"; "idle-end"; 2); "B/s"; 13312),
    figure("control bytes under load"; rate("load-begin"; "load-end"; 2); "B/s"; 13312)]}' \
    >"build/bench/$report.json" || exit 1
jq -r '.figures[] | "\(.name): \(.value) \(.unit)\(if .met == null then "" elif .met then " (target \(.target): met)" else " (target \(.target): NOT MET)" end)"' \
    "build/bench/$report.json"
jq -e '[.figures[] | select(.met == false)] | length == 0' "build/bench/$report.json" >/dev/null
