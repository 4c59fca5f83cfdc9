#!/bin/sh
# Runs tests/fleet with each seed of tests/fleet/seeds.txt, then prints
# "N passed, N failed".  Usage: fleet-seeds.sh [BUILD_DIRECTORY]
cd "$(dirname "$0")/../.." || exit 1
BUILD=${1:-build}
passed=0
failed=0
for seed in $(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' tests/fleet/seeds.txt); do
	if "$BUILD/tests/fleet" --seed "$seed"; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
