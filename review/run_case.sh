#!/usr/bin/env bash
# Runs case $1 (see its claim.txt), with the disruption unless $2 is 0, and writes its record. Exit 1: the rule
# was broken; 0: it held; 2: the case could not run. Each case's run.sh passes its TROUBLE on.
set -uo pipefail
number=$1
export TROUBLE="$2"
cd "$(dirname "$0")/.." || exit 2
export RECORD="$PWD/review/$number/record.txt"
rm -f "$RECORD"
if [ ! -x target/hoprockd ]; then
  echo "target/hoprockd is missing: build the project first" >&2
  exit 2
fi
bash review/build.sh || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 117 "review/.build/case$number" target/hoprockd deploy/policy.hop "$folder"
code=$?
[ "$code" -le 2 ] || code=2
if [ -n "${KEEP_LOGS:-}" ]; then
  cp "$folder"/*.log "$KEEP_LOGS"/
fi
grep "result:" "$RECORD" | tail -n 1
exit "$code"
