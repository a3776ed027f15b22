#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 no VM is replaced.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x target/bin/spindled ] && [ -x target/review-2/replaced ] || exit 2
target/review-2/replaced "$folder" review/8/record.txt
