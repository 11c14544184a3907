#!/usr/bin/env bash
# Checks the emulator's messages for invalid settings and faults, its HTTP interface, and the demo script.
# $1: target folder, $2: the sources
set -u
cd "$2" || exit 1
tmp=$(mktemp -d)
emulator_id=
trap 'test -n "$emulator_id" && kill "$emulator_id" 2>/dev/null; rm -rf "$tmp"' EXIT
# shellcheck source=tests/expect.sh
. tests/expect.sh
run=("$1/hoprock-emulator" --daemon "$1/hoprockd" --policy deploy/policy.hop)
expect 2 'are needed' "$1/hoprock-emulator"
echo '{"controllers": 9}' >"$tmp/many.json"
expect 2 'controllers is not known, or out of range' "${run[@]}" --settings "$tmp/many.json"
echo '{"colour": 1}' >"$tmp/odd.json"
expect 2 'colour is not known' "${run[@]}" --settings "$tmp/odd.json"
echo 'kind=earthquake at=3' >"$tmp/odd.troubles"
expect 2 'line 1 is no trouble' "${run[@]}" --troubles "$tmp/odd.troubles" --listen 127.0.0.1:18311
expect 2 'is not an IP address' "${run[@]}" --listen here:80
"${run[@]}" --listen 127.0.0.1:18312 --seconds 60 >"$tmp/log" 2>&1 &
emulator_id=$!
sleep 3
expect 0 '"controllers_up":\[true,true,true\]' curl -s http://127.0.0.1:18312/emulator
# A pipeline: every controller states which job a job waits for, and with which cancelled job it was
# withdrawn.
hoprock=("$1/hoprock" -q --server 127.0.0.1:18312)
job=(--class pages --team crew --cpus 2 --memory 10 --image render-1 --image-size 1 --estimate 30)
expect 0 'job-scan queued' "${hoprock[@]}" submit --id job-scan "${job[@]}"
expect 0 'waits for 1 job to be done: job-scan' "${hoprock[@]}" submit --id job-print "${job[@]}" --await job-scan
expect 1 'it awaits job-none, which was never accepted' "${hoprock[@]}" submit --id job-odd "${job[@]}" --await job-none
expect 0 'job-scan withdrawn' "${hoprock[@]}" cancel job-scan
expect 0 'job-print withdrawn.*withdrawn with job-scan' "${hoprock[@]}" status job-print
expect 0 'line 1 is no trouble' curl -s -d 'kind=none' http://127.0.0.1:18312/emulator/troubles
expect 0 '{}' curl -s -d 'kind=node_crash who=all at=0 back=20' http://127.0.0.1:18312/emulator/troubles
sleep 2
expect 0 '"controllers_up":\[false,false,false\]' curl -s http://127.0.0.1:18312/emulator
kill "$emulator_id"
wait "$emulator_id"
emulator_id=
expect 0 'ended after .* 0 rules broken' cat "$tmp/log"
# The demo has six tasks. Killing the leader ends none of them, so only a few may start twice.
demo=$(deploy/demo.sh 127.0.0.1:18313 2>&1)
expect 0 'job-demo done, 6 tasks done' echo "$demo"
expect 0 ': \([6-9]\|1[0-2]\) starts, 0 rules broken' echo "$demo"
exit "$fails"
