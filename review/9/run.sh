#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the store turns nobody away.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x target/bin/spindled ] && [ -x target/review-2/leaving ] || exit 2
target/review-2/leaving "$folder" review/9/record.txt
