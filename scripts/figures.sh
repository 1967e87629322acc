#!/usr/bin/env bash
# Prints the results in build/bench as Markdown tables for docs/measurements.md.
set -euo pipefail
cd "$(dirname "$0")/.."
for name in "$@"; do
    jq -r '"\n### \(.name)\n\nCommand: `scripts/bench.sh \(.name)`, seed \(.seed).\n\n| figure | value | unit | target | baseline | met |\n| --- | --- | --- | --- | --- | --- |",
        (def short: if type == "number" then (if . == 0 then 0 else . as $v | ($v | fabs | log10 | floor) as $e
            | (pow(10; 3 - $e)) as $f | ($v * $f | round) / $f end) else "" end;
        .figures[] | "| \(.name) | \(.value | short) | \(.unit) | \(.target | short) | \(.baseline | short) | \(if .met == null then "" elif .met then "yes" else "**no**" end) |")' \
        "build/bench/$name.json"
done
