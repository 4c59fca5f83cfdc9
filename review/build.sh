#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin/, from review/standin and
# the project's own HTTP and timer code. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
packages="glib-2.0 libuv libh2o jansson libxxhash libcrypto"
# shellcheck disable=SC2046
cc -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -Ilib -Ireview/standin \
	$(pkg-config --cflags $packages) -o review/bin/standin \
	review/standin/*.c \
	lib/net/http_server.c lib/net/http_client.c lib/net/loop.c \
	lib/net/json_util.c lib/kernel/timers.c lib/kernel/name.c \
	$(pkg-config --libs $packages) -lm
