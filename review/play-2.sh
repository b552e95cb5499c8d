#!/usr/bin/env bash
# Plays a scenario of review/standin-2 with three hosts, each started with the command of the deploy file.
# Arguments: the case's folder and the scenario. TROUBLE=0 leaves the disruption out, SEED sets the draws.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
scenario=$2
cd "$(dirname "$0")/.."
[ -x target/foldarch-entry ] && [ -x target/standin-2 ] || { echo "build first: the deploy file's build, review/build-2.sh" >&2; exit 2; }

dir=$(mktemp -d)
started=()
stop_all() {
	kill "${started[@]}" 2>/dev/null
	wait 2>/dev/null
	rm -rf "$dir"
}
trap stop_all EXIT

# Runs a host, and starts it again 3 s after it has ended. Its process id stands in $dir/NAME.pid while it runs.
keep_host() {
	trap 'kill -9 $child; exit' TERM
	while true; do
		FOLDARCH_NODE_FILE=$2 target/foldarch-entry platform --metrics 9100 >>"$dir/$1.log" 2>&1 &
		child=$!
		echo "$child" >"$dir/$1.pid"
		wait "$child"
		rm -f "$dir/$1.pid"
		sleep 3 &
		child=$!
		wait "$child"
	done
}

trouble=true
[ "${TROUBLE:-1}" != 0 ] || trouble=false
target/standin-2 -scenario "$scenario" -dir "$dir" -record "$folder/record.txt" -trouble="$trouble" -seed "${SEED:-0}" >"$dir/hosts" 2>"$dir/errors" &
standin=$!
started+=("$standin")
for _ in $(seq 100); do
	[ "$(wc -l <"$dir/hosts")" -lt 3 ] || break
	sleep 0.1
done
while read -r _ name settings; do
	keep_host "$name" "$settings" 2>/dev/null &
	started+=($!)
done <"$dir/hosts"

wait "$standin"
code=$?
[ "$code" -le 2 ] || code=2
cat "$dir/errors" >&2
[ -z "${LOGS:-}" ] || cp "$dir"/host-*.log "$LOGS"/
tail -n 1 "$folder/record.txt"
exit "$code"
