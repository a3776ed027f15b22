#!/bin/sh
# Stops a VM with SIGTERM while orders wait for a connection to a target.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/driver ] && [ -x target/bin/spindled ] || exit 2
timeout -k 1 115 target/review/driver stop review/1/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
