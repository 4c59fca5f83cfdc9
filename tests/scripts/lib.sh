# Functions for scripts that run the programs on the loopback interface.
# shellcheck shell=bash

BUILD=${BUILD:-build}
PIDS=()

# Copies a deployment's files to $WORK and replaces their ports, which are 21000
# to 21099, by unused ones.  Sets PLATFORM (address and port) and HOSTS (names).
prepare_deployment() {
	local deployment=$1 first_port file
	WORK=$(mktemp -d)
	first_port=$(pick_first_port)
	PLATFORM=127.0.0.1:$first_port
	for file in "examples/$deployment"/*.json \
		"examples/$deployment"/hosts/*.json; do
		sed -E "s/\"(port|callers_port|peers_port)\": 210([0-9]{2})/\"\1\": $((first_port / 100))\2/" \
			"$file" >"$WORK/$(basename "$file")"
	done
	HOSTS=()
	for file in "examples/$deployment"/hosts/*.json; do
		HOSTS+=("$(basename "$file" .json)")
	done
}

# Prints the first of 100 unused ports below the ephemeral range.
pick_first_port() {
	local first_port try
	for try in {1..50}; do
		first_port=$(((RANDOM % 200 + 100) * 100))
		if ! ss -Hltn "sport >= :$first_port and sport < :$((first_port + 100))" |
			grep -q .; then
			echo "$first_port"
			return
		fi
	done
	echo "no free ports after $try tries" >&2
	exit 1
}

# Prints the port on which a host answers clients (its setting callers_port).
callers_port_of() {
	sed -n -E 's/.*"callers_port": ([0-9]+).*/\1/p' "$WORK/$1.json"
}

# Starts tests/standin, the platform of mimosaturnd.
start_platform() {
	"$BUILD/tests/standin" --servers "$WORK/servers.json" \
		--port "${PLATFORM#*:}" "$@" >"$WORK/standin.log" 2>&1 &
	PIDS+=($!)
	wait_for "http://$PLATFORM/v1/hosts"
}

# Starts mimosaturnd for a host of HOSTS.
declare -A HOST_PID
start_host() {
	"$BUILD/programs/mimosaturnd" --settings "$WORK/$1.json" \
		>>"$WORK/$1.log" 2>&1 &
	HOST_PID[$1]=$!
	PIDS+=($!)
}

# Waits up to 15 s, plus the time of the requests, until a URL answers.
wait_for() {
	local try
	for try in {1..300}; do
		curl -fs -o /dev/null "$1" && return 0
		sleep 0.05
	done
	echo "$1 did not answer after $try tries" >&2
	return 1
}

# Prints the addresses of all hosts, separated by commas.
all_hosts() {
	local host list=""
	for host in "${HOSTS[@]}"; do
		list+="${list:+,}127.0.0.1:$(callers_port_of "$host")"
	done
	echo "$list"
}

# Kills all processes that were started, and removes $WORK.
stop_all() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -9 "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$WORK"
}

# Prints the first integer value of a key in the JSON text on standard input.
json_number() {
	grep -o "\"$1\": *[0-9]*" | head -1 | grep -o '[0-9]*$'
}
