#!/bin/sh
# Builds all stand-ins that the scripts of this folder start.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 OUT=target MODE=release target/bin/platform
mkdir -p target/review
cc -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Werror -O2 \
    -o target/review/driver review/standins/driver.c -pthread
