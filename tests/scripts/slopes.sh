#!/usr/bin/env bash
# Measures CPU time, memory and traffic of mimosaturnd against the number of
# servers, accounts, hosts, tasks, arrivals and list changes, and fits a straight
# line to each.  Measures the host tunis-1, whose data centre has all servers.
# Writes OUT/slopes.csv (one row per measurement), OUT/fits.csv and
# OUT/slopes.svg.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/scripts/lib.sh

OUT=${OUT:-build/slopes}
SECONDS_EACH=${SECONDS_EACH:-6}
mkdir -p "$OUT"
CSV=$OUT/slopes.csv
echo "dimension,size,cpu_percent,rss_kb,platform_bytes_per_s,peer_bytes_per_s,appends_per_s" >"$CSV"
CTL=$BUILD/programs/mimosaturn
trap 'stop_all 2>/dev/null' EXIT

OTHER_HOSTS=(tunis-2 tunis-3 bizerte-1 bizerte-2 bizerte-3 sfax-1 sfax-2)

# Starts the platform and the given number of hosts of a deployment.  All of its
# servers are in the data centre tunis.
start_deployment() { # SERVERS ACCOUNTS HOSTS
	local i
	prepare_deployment workshop
	{
		echo '{"servers":['
		for ((i = 0; i < $1; i++)); do
			printf '%s{"id":"t-%04d","data_centre":"tunis","rack":%d,"address":"127.0.0.1","port":%d,"processors":64,"memory_mb":262144,"accelerators":8,"slots":8,"leaving":false}\n' \
				"$([ "$i" -eq 0 ] || echo ,)" "$i" $((i / 8)) "${PLATFORM#*:}"
		done
		echo ']}'
	} >"$WORK/servers.json"
	{
		echo '{"atelier-sfax":{"plan":"large","key_sha256":["'"$(printf demo-atelier-sfax | sha256sum | head -c 64)"'"]}'
		for ((i = 1; i < $2; i++)); do
			printf ',"team-%03d":{"plan":"small","key_sha256":["%064d"]}\n' "$i" "$i"
		done
		echo '}'
	} >"$WORK/plans.json"
	# Raise the limits of the example, so that no account reaches them.
	sed -i 's/"accelerators": 136/"accelerators": 100000/; s/"processors": 1088/"processors": 10000000/; s/"memory_mb": 4456448/"memory_mb": 90000000/' "$WORK/usage.json"
	# No guarantees, so that a shortage of capacity does not affect the result.
	sed -i -E '/"guarantee"/,/}/ s/: [0-9]+/: 0/' "$WORK/usage.json"
	start_platform
	HOST=tunis-1
	start_host "$HOST"
	for ((i = 2; i <= $3; i++)); do
		start_host "${OTHER_HOSTS[$((i - 2))]}"
	done
	"$CTL" publish --log "$PLATFORM" --list usage "$WORK/usage.json" >/dev/null
	"$CTL" publish --log "$PLATFORM" --list plans "$WORK/plans.json" >/dev/null
	URL=http://127.0.0.1:$(callers_port_of "$HOST")
	wait_for "$URL/readyz"
	sleep 5
}

# Prints the sum of the host's metrics whose name begins with mimosaturn_$1.
metric() {
	curl -fs "$URL/metrics" | awk -v name="mimosaturn_$1" \
		'index($1, name) == 1 {sum += $2} END {print sum + 0}'
}

# Prints the CPU time of the host, in clock ticks.
ticks() {
	awk '{print $14 + $15}' "/proc/${HOST_PID[$HOST]}/stat"
}

# Measures the host for SECONDS_EACH seconds and writes a row.
sample() { # DIMENSION SIZE
	local cpu platform peer appends rss hz
	hz=$(getconf CLK_TCK)
	cpu=$(ticks)
	platform=$(metric platform_bytes_total)
	peer=$(metric peer_bytes_sent_total)
	appends=$(metric log_appends_total)
	sleep "$SECONDS_EACH"
	cpu=$(($(ticks) - cpu))
	platform=$(($(metric platform_bytes_total) - platform))
	peer=$(($(metric peer_bytes_sent_total) - peer))
	appends=$(($(metric log_appends_total) - appends))
	rss=$(awk '/VmRSS/ {print $2}' "/proc/${HOST_PID[$HOST]}/status")
	awk -v d="$1" -v s="$2" -v c="$cpu" -v h="$hz" -v t="$SECONDS_EACH" \
		-v r="$rss" -v p="$platform" -v e="$peer" -v a="$appends" \
		'BEGIN {printf "%s,%s,%.3f,%d,%.1f,%.1f,%.2f\n", d, s, 100 * c / h / t, r, p / t, e / t, a / t}' |
		tee -a "$CSV"
}

# Stops the processes of one measurement.
finish() {
	stop_all 2>/dev/null
	PIDS=()
}

for size in 17 100 200 400; do
	start_deployment $size 4 1
	sample servers $size
	finish
done
for size in 4 50 130; do
	start_deployment 17 $size 1
	sample accounts $size
	finish
done
for size in 1 4 7; do
	start_deployment 17 4 $size
	sample hosts $size
	finish
done
cat >/tmp/mt-mix.$$ <<'MIX'
{"accounts":[{"account":"atelier-sfax","key":"demo-atelier-sfax"}],
 "kinds":[{"kind":"long","share":1,"run_ms":[120000,120000],
 "body":{"idempotent":true,"accelerators":1,"memory_mb":1000,"run_s":120}}]}
MIX
for size in 0 200 400 800; do
	start_deployment 120 4 1
	[ $size -eq 0 ] || "$CTL" load --hosts "127.0.0.1:$(callers_port_of "$HOST")" \
		--mix /tmp/mt-mix.$$ --jobs $size --rate 200 --timeout 8 \
		--json >/dev/null
	sleep 3
	sample tasks $size
	finish
done
sed -i 's/120000,120000/50,50/; s/"run_s":120/"run_s":1/' /tmp/mt-mix.$$
for size in 0 5 20 40; do
	start_deployment 50 4 1
	# The load starts 2 s before the sample and has jobs for 2 s beyond it.
	[ $size -eq 0 ] || "$CTL" load --hosts "127.0.0.1:$(callers_port_of "$HOST")" \
		--mix /tmp/mt-mix.$$ --jobs $((size * (SECONDS_EACH + 4))) \
		--rate $size --timeout 30 --json >/dev/null &
	sleep 2
	sample arrivals_per_s $size
	finish
done
for size in 0 30 60; do
	start_deployment 17 130 1
	# Publishes size / 10 edits during the sample, that is, `size` a minute if
	# SECONDS_EACH is 6, its default.  The pause between them is 1 s for size 30
	# and 0 s for size 60, because of the integer division.
	(
		for ((i = 0; i < size / 10; i++)); do
			sed "0,/\"small\"/s//\"large\"/; s/team-001/team-$((200 + i))/" \
				"$WORK/plans.json" >"$WORK/plans$i.json"
			"$CTL" publish --log "$PLATFORM" --list plans \
				"$WORK/plans$i.json" >/dev/null 2>&1
			sleep $((60 / (size + 1)))
		done
	) &
	sample list_changes_per_min $size
	finish
done
rm -f /tmp/mt-mix.$$

# Least-squares fit for each dimension, with the root mean square residual.
awk -F, 'NR > 1 {
	for (k = 3; k <= 7; k++) {
		key = $1 "," k
		n[key]++; sx[key] += $2; sy[key] += $k
		sxx[key] += $2 * $2; sxy[key] += $2 * $k; syy[key] += $k * $k
	}
}
END {
	split("x,x,cpu_percent,rss_kb,platform_bytes_per_s,peer_bytes_per_s,appends_per_s", name, ",")
	print "dimension,quantity,at_zero,slope,residual"
	for (key in n) {
		split(key, part, ",")
		det = n[key] * sxx[key] - sx[key] ^ 2
		b = det ? (n[key] * sxy[key] - sx[key] * sy[key]) / det : 0
		a = (sy[key] - b * sx[key]) / n[key]
		ss = syy[key] - a * sy[key] - b * sxy[key]
		printf "%s,%s,%.4f,%.6f,%.4f\n", part[1], name[part[2]], a, b, sqrt(ss > 0 ? ss / n[key] : 0)
	}
}' "$CSV" | sort >"$OUT/fits.csv"
cat "$OUT/fits.csv"

gnuplot <<PLOT
set terminal svg size 900,600
set output "$OUT/slopes.svg"
set datafile separator ","
set multiplot layout 2,2 title "CPU use and traffic of one host (mimosaturnd)"
set ylabel "% of a core"; set xlabel "backend servers"
plot "< grep ^servers $CSV" using 2:3 with linespoints notitle
set xlabel "running tasks"
plot "< grep ^tasks $CSV" using 2:3 with linespoints notitle
set xlabel "arrivals a second"
plot "< grep ^arrivals $CSV" using 2:3 with linespoints notitle
set ylabel "bytes a second with the platform"; set xlabel "backend servers"
plot "< grep ^servers $CSV" using 2:5 with linespoints notitle
unset multiplot
PLOT
echo "wrote $CSV, $OUT/fits.csv and $OUT/slopes.svg"
