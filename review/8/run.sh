#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
trouble=${TROUBLE:-1}
exec "$(dirname "$0")/../standins-2/run.sh" late-submission "$(dirname "$0")" "$trouble"
