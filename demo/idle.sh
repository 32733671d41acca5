#!/usr/bin/env bash
# Measures the CPU time and the resident memory of idle entry VM daemons at several numbers of workers. Prints the
# highest value of any daemon for each number.
# Usage: demo/idle.sh WORKERS_PER_DOMAIN...
set -u
bin=$(cd "$(dirname "$0")/../bin" && pwd)
seconds=10
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
for workers in "$@"; do
	folder=$(mktemp -d)
	cd "$folder" || exit 1
	"$bin/standin" site kingston --out . --workers "$workers" || exit 1
	all=()
	"$bin/standin" platform --listen 127.0.0.1:7000 --list list.ini >/dev/null 2>&1 &
	all+=($!)
	for domain in North East South West; do
		"$bin/standin" worker --list list.ini --failure-domain $domain >/dev/null 2>&1 &
		all+=($!)
	done
	sleep 1
	daemons=()
	for settings in entry-*.ini; do
		"$bin/auburnstack" serve --settings "$settings" >/dev/null 2>&1 &
		daemons+=($!)
	done
	sleep 4
	AUBURNSTACK_OPERATOR=127.0.0.1:7200 AUBURNSTACK_OPERATOR_CREDENTIAL=operator-secret \
		"$bin/auburnstack" tables put --revision 0 >/dev/null
	sleep 5
	before=()
	for p in "${daemons[@]}"; do before+=("$(ticks "$p")"); done
	sleep $seconds
	cpu=0 memory=0
	for i in "${!daemons[@]}"; do
		used=$(($(ticks "${daemons[$i]}") - before[i]))
		rss=$(resident "${daemons[$i]}")
		((used > cpu)) && cpu=$used
		((rss > memory)) && memory=$rss
	done
	printf '%d workers in all: busiest daemon %.2f%% of a core, largest %.1f MB resident\n' \
		$((workers * 4)) "$(echo "$cpu / $seconds" | bc -l)" "$(echo "$memory / 1024" | bc -l)"
	kill -9 "${daemons[@]}" "${all[@]}"
	wait 2>/dev/null
	rm -rf "$folder"
done
