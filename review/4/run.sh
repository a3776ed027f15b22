#!/bin/sh
# A target drains after the store has come back from an older copy.
# TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/driver ] && [ -x target/bin/spindled ] || exit 2
TROUBLE=${TROUBLE:-1} timeout -k 1 115 \
    target/review/driver drill review/4/record.txt &
pid=$!
trap 'kill "$pid"; wait "$pid"; exit 2' HUP INT TERM
wait "$pid"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
