#!/bin/sh
# Runs one short demo and prints "N passed, N failed", as the test suites do.
# Usage: check-demo.sh [DEPLOYMENT [JOBS]]
cd "$(dirname "$0")/.." || exit 1
if tests/scripts/demo.sh "${1:-workshop}" 1 "${2:-120}"; then
	echo "1 passed, 0 failed"
else
	echo "0 passed, 1 failed"
	exit 1
fi
