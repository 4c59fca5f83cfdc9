#!/usr/bin/env bash
# Runs tests/chaos, which injects faults into real processes.
# Usage: chaos.sh [FIRST_SEED [SEEDS [SECONDS]]], with SECONDS for each seed
cd "$(dirname "$0")/../.." || exit 1
. tests/scripts/lib.sh
exec "$BUILD/tests/chaos" --build "$BUILD" --port "$(pick_first_port)" \
	--seed "${1:-1}" --seeds "${2:-1}" --seconds "${3:-15}"
