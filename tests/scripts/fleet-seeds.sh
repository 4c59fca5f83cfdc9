#!/bin/sh
# Runs tests/fleet with each seed of tests/fleet/seeds.txt and its options, then
# prints "N passed, N failed".  Usage: fleet-seeds.sh [BUILD_DIRECTORY]
cd "$(dirname "$0")/../.." || exit 1
BUILD=${1:-build}
passed=0
failed=0
runs=$(mktemp)
trap 'rm -f "$runs"' EXIT
sed -nE 's/^([0-9]+(( --[a-z]+)*)) .*/\1/p' tests/fleet/seeds.txt >"$runs"
while read -r seed options; do
	# shellcheck disable=SC2086 # zero or more options
	if "$BUILD/tests/fleet" --seed "$seed" $options; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
	fi
done <"$runs"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
