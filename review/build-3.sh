#!/bin/sh
# Builds the program of case 12 into target/review-3, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
# shellcheck disable=SC2046
gcc -std=gnu11 -O2 -Wall -Wextra -o target/review-3/quota \
    review/standins-3/case_quota.c review/standins-3/world.c \
    review/standins-3/store.c review/standins-3/upstream.c \
    review/standins-3/deployment.c \
    $(pkg-config --cflags --libs json-c) -pthread
