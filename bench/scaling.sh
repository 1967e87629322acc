#!/usr/bin/env bash
# Runs the distribution measurement without faults at several numbers of members, instance records and
# changes per second, and computes the slopes that docs/CAPACITY.md extrapolates. Writes
# build/bench/scaling.json.
set -uo pipefail
cd "$(dirname "$0")/.."

run() { # run NAME MEMBERS RECORDS RATE
    FAULTS=0 TICKETS=$(($4 * 10)) MEMBERS=$2 RECORDS=$3 RATE=$4 REPORT="scaling-$1" \
        bash bench/distribution.sh >"build/bench/scaling-$1.txt" || echo "scaling-$1 missed a target" >&2
}

mkdir -p build/bench
run members-4 4 0 2
run members-8 8 0 2
run members-16 16 0 2
run rate-8 8 0 8
run records-2100 8 2100 2
run records-21000 8 21000 2
jq -n --slurpfile m4 build/bench/scaling-members-4.json --slurpfile m8 build/bench/scaling-members-8.json \
    --slurpfile m16 build/bench/scaling-members-16.json --slurpfile r8 build/bench/scaling-rate-8.json \
    --slurpfile o1 build/bench/scaling-records-2100.json \
    --slurpfile o2 build/bench/scaling-records-21000.json '
def value($run; $name): $run[0].figures[] | select(.name == $name) | .value;
def points($name_of_run; $run): ["control processor idle", "control processor under load",
    "membership and distribution processor idle", "membership and distribution processor under load",
    "control memory, largest", "control bytes idle", "control bytes under load",
    "store calls idle", "in effect everywhere, p99"][] as $name
    | $run[0].figures[] | select(.name == $name) | .name = "\($name_of_run): \($name)";
def slope($name; $a; $b; $from; $to; $unit): {name: "slope of \($name) \($unit)",
    value: ((value($b; $name) - value($a; $name)) / ($to - $from)),
    unit: ([$a[0].figures[] | select(.name == $name)][0].unit), target: null, baseline: null, met: null};
{name: "scaling", seed: 1, figures: ([points("4 members"; $m4), points("8 members"; $m8),
    points("16 members"; $m16), points("8 members, 8 tickets/s"; $r8),
    points("8 members, 2,100 records"; $o1), points("8 members, 21,000 records"; $o2)]
  + [("control processor idle", "control bytes idle", "control memory, largest", "store calls idle")
     | slope(.; $m4; $m16; 4; 16; "per member")]
  + [("control processor under load", "membership and distribution processor under load", "control memory, largest", "control bytes under load")
     | slope(.; $m8; $o2; 0; 21; "per 1,000 records")]
  + [("control processor under load", "control bytes under load")
     | slope(.; $m8; $r8; 2; 8; "per ticket/s")])}' >build/bench/scaling.json || exit 1
jq -r '.figures[] | "\(.name): \(.value) \(.unit)"' build/bench/scaling.json
