#!/bin/sh
# Builds the stand-ins of the cases of the second review into target/review-2.
# Needs the build of the deploy file, a C compiler and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.c; do
	name=$(basename "$source" .c)
	cc -std=gnu11 -O2 -Wall -Wextra -pthread -o "target/review-2/$name" \
	    "$source"
done
