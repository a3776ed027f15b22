#!/bin/sh
# Builds the programs of the cases 11 to 15 into target/review-3, after the build
# of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
shared="review/standins-3/world.c review/standins-3/store.c
    review/standins-3/upstream.c review/standins-3/deployment.c"
for name in leaving deadly quota; do
	# shellcheck disable=SC2046,SC2086
	gcc -std=gnu11 -O2 -Wall -Wextra -o "target/review-3/$name" \
	    "review/standins-3/case_$name.c" $shared \
	    $(pkg-config --cflags --libs json-c) -pthread
done
