#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10 into target/review-2/, from
# review/standin-2 and the project's own HTTP, timer and JSON code. Run it after the
# build of the deploy file, which installs the libraries that are needed here, too.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p $out
packages="glib-2.0 libuv libh2o jansson libxxhash libcrypto"
shared="review/standin-2/common.c lib/net/http_server.c lib/net/http_connection.c
	lib/net/http_guard.c lib/net/http_client.c lib/net/loop.c lib/net/json_util.c
	lib/kernel/timers.c lib/kernel/name.c"
for program in platform worker; do
	# shellcheck disable=SC2046,SC2086
	cc -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -Ilib \
		$(pkg-config --cflags $packages) -o "$out/$program" \
		"review/standin-2/$program.c" $shared $(pkg-config --libs $packages) -lm
done
