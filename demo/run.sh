#!/usr/bin/env bash
# Runs one site as separate processes under a mixed load with planned and unplanned failures. Then checks the replies
# to the callers against the work that the workers ran. Usage: demo/run.sh kingston|association
set -u
site=${1:-kingston}
bin=$(cd "$(dirname "$0")/../bin" && pwd)
folder=$(mktemp -d)
cd "$folder" || exit 1
declare -A process
cleanup() {
	for name in "${!process[@]}"; do kill -9 "${process[$name]}" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$folder"
}
trap cleanup EXIT
launch() {
	local name=$1
	shift
	"$@" >"$name.log" 2>&1 &
	process[$name]=$!
}
fault() { curl -s -o /dev/null -d "{\"Fault\":\"$1\"}" http://127.0.0.1:7000/control/fault; }

"$bin/standin" site "$site" --out . --load 28s || exit 1
domains=$(grep -A1 '^\[Vm\.' list.ini | sed -n 's/FailureDomain = //p' | uniq)
leaver=$(echo "$domains" | sed -n 2p)
launch platform "$bin/standin" platform --listen 127.0.0.1:7000 --list list.ini
for domain in $domains; do launch "workers-$domain" "$bin/standin" worker --list list.ini --failure-domain "$domain"; done
sleep 0.5
for settings in entry-*.ini; do launch "${settings%.ini}" "$bin/auburnstack" serve --settings "$settings"; done
sleep 3

export AUBURNSTACK_OPERATOR=127.0.0.1:7200 AUBURNSTACK_OPERATOR_CREDENTIAL=operator-secret
"$bin/auburnstack" tables put --revision 0 || exit 1
"$bin/auburnstack" tables wait 1 || exit 1
"$bin/auburnstack" load --plan load.ini --report report.json &
load=$!

sleep 4
cp pools.ini pools-in.ini
printf '[FailureDomain.%s]\nState = Out\n' "$leaver" >>pools.ini
echo "== $leaver is taken out by one edit"
"$bin/auburnstack" tables put --revision 1 >/dev/null || exit 1
out=$(date +%s)
"$bin/auburnstack" tables wait 2
sleep 7
back=$(date +%s)
echo "== $leaver is brought back"
"$bin/auburnstack" tables put --revision 2 --pools pools-in.ini >/dev/null || exit 1
sleep 4
echo "== entry-3 is killed"
kill -9 "${process[entry-3]}"
sleep 3
echo "== entry-1 is stopped gracefully"
kill -TERM "${process[entry-1]}"
sleep 3
echo "== the store is down for 4 s"
fault Down
sleep 4
fault None
wait "$load"
echo "== status after the load"
"$bin/auburnstack" status | sed -n '/DOMAIN  *SCHEDULER/,/^$/p'
"$bin/standin" verify --list list.ini --report report.json --out "$leaver,$out,$back"
verdict=$?
if [ -n "${KEEP:-}" ]; then cp -r . "$KEEP"; "$bin/auburnstack" timeline >"$KEEP/timeline.txt"; fi
exit $verdict
