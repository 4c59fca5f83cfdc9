#!/usr/bin/env bash
# Builds the stand-ins of review 3 into target/review-3/. Run after the build of
# the deploy file, whose libraries they use.
set -e
cd "$(dirname "$0")/.."
libraries="libh2o libuv glib-2.0 jansson libcrypto libxxhash"
mkdir -p target/review-3
# shellcheck disable=SC2046
"${CC:-cc}" -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -I. -Ilib \
	$(pkg-config --cflags $libraries) -o target/review-3/platform \
	review/standin-3/platform.c target/lib/net/libmt_net.a \
	target/lib/kernel/libmt_kernel.a $(pkg-config --libs $libraries) -lm
"${CC:-cc}" -std=gnu11 -O2 -Wall -Wextra -o target/review-3/client \
	review/standin-3/client.c
