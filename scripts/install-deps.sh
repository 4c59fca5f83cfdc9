#!/bin/sh
# Installs the Debian packages that the build and the tests need.
set -e

PACKAGES="build-essential cmake pkg-config clang-format clang-tidy cppcheck
	curl iproute2 gnuplot-nox
	libh2o-dev libuv1-dev libprotobuf-c-dev libargtable2-dev libglib2.0-dev
	libjansson-dev libcunit1-dev libxxhash-dev libssl-dev"

missing=""
for package in $PACKAGES; do
	status=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
	[ "$status" = "install ok installed" ] || missing="$missing $package"
done
[ -n "$missing" ] || exit 0

echo "installing:$missing"
if [ "$(id -u)" -ne 0 ]; then
	exec sudo sh "$0"
fi
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
	--no-install-recommends $missing >/dev/null
