#!/usr/bin/env bash
# Demonstrates hoprock on this machine alone: three controllers under the emulator and a job of six
# tasks; the leader crashes while they run. Stops the emulator at the end. $1: address for users;
# default 127.0.0.1:8080.
set -euo pipefail
cd "$(dirname "$0")/.."
at="${1:-127.0.0.1:8080}"
log=$(mktemp)
target/hoprock-emulator --daemon target/hoprockd --policy deploy/policy.hop --listen "$at" \
  --settings deploy/demo.json --troubles deploy/demo.troubles >"$log" &
emulator=$!
trap 'kill "$emulator" 2>/dev/null || true' EXIT
for _ in $(seq 100); do
  grep -q "users at" "$log" && break
  sleep 0.1
done
cat "$log"
hoprock="target/hoprock --server $at"
$hoprock submit --id job-demo --class pages --team crew --tasks 6 --cpus 4 --gpus 1 --memory 30 \
  --image render-1 --image-size 1 --estimate 12 --checkpoint 5 --save 1
$hoprock status job-demo --watch
kill "$emulator"
wait "$emulator"
tail -n 1 "$log"
rm -f "$log"
