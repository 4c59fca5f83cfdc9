#!/bin/sh
# Runs the demo with seeds 1 to N; all of its checks must pass.
# Usage: demo-repeat.sh DEPLOYMENT N
cd "$(dirname "$0")/../.." || exit 1
failed=0
seed=1
while [ "$seed" -le "$2" ]; do
	if tests/scripts/demo.sh "$1" "$seed" 200 >"/tmp/mt-demo.$$" 2>&1; then
		echo "seed $seed: all checks passed"
	else
		tail -25 "/tmp/mt-demo.$$"
		failed=$((failed + 1))
	fi
	seed=$((seed + 1))
done
rm -f "/tmp/mt-demo.$$"
echo "$(($2 - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
