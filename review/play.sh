#!/usr/bin/env bash
# Plays a case of the stand-in: review/play.sh CASE FOLDER. It starts three entry hosts with the command of
# the deploy file on the emulated platform of the stand-in, and ends all that it started. TROUBLE=0 leaves the
# disruption out. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
name=$1 folder=$2
if [ ! -x target/foldarch-entry ] || [ ! -x target/review-standin ]; then
	echo "$0: run the build of the deploy file and review/build.sh first" >&2
	exit 2
fi
dir=$(mktemp -d) || exit 2
started=()
stop_all() {
	[ ${#started[@]} -eq 0 ] || kill "${started[@]}" 2>/dev/null
	for _ in $(seq 60); do
		[ -n "$(jobs -pr)" ] || break
		sleep 0.1
	done
	[ -z "$(jobs -pr)" ] || kill -9 $(jobs -pr) 2>/dev/null
	wait 2>/dev/null
	rm -rf "$dir"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

target/review-standin --dir "$dir" --record "$folder/record.txt" --case "$name" --trouble="$([ "${TROUBLE:-1}" = 0 ] && echo false || echo true)" >"$dir/hosts" 2>"$dir/standin.log" &
standin=$!
started+=("$standin")
for _ in $(seq 100); do
	[ "$(grep -c '^host' "$dir/hosts")" = 3 ] && break
	sleep 0.05
done
while read -r _ host settings; do
	FOLDARCH_NODE_FILE=$settings target/foldarch-entry platform --metrics 9100 >"$dir/$host.log" 2>&1 &
	started+=("$!")
	echo "$!" >"$dir/$host.pid"
done <"$dir/hosts"
wait "$standin"
status=$?
{
	echo "the hosts' own log, for the reader; the verdict does not rest on it:"
	grep -hE 'msg=(owner_elected|owner_deposed|owner_ended|store_call_fails)|^panic|^fatal' "$dir"/host-*.log | cut -c1-260 | sort | head -n 40
	cat "$dir/standin.log"
} >>"$folder/record.txt"
[ -z "${KEEP_LOGS:-}" ] || cp "$dir"/host-*.log "$KEEP_LOGS"/
grep -hE 'ordinary jobs: .* after the traffic|^ *[0-9.]+ (MIXED|the wave is shown|tasks that ran in two places)' "$folder/record.txt" | tail -n 1
[ "$status" -le 1 ] || status=2
exit "$status"
