#!/usr/bin/env bash
# drawn_days.sh BUILD FOLDER: plays a few hundred random simulated days (runs of the simulated cluster) in
# addition to those of CI and writes their digests to FOLDER, for check_digests.sh and tests/digests-drawn.txt. Takes about a minute on 6 processors.
set -euo pipefail
build=$1
folder=$2
mkdir -p "$folder"
run ()
{
  local name=$1
  shift
  echo "HR_SIM_DIGESTS=$folder/$name" "$@"
}
{
  for part in 0 1 2 3 4 5 6 7; do
    from=$((5000 + part * 20))
    run "sim_$part" "$build/test_sim" "$from" $((from + 20)) "$part" 0
  done
  for part in 0 1 2 3; do
    from=$((6000 + part * 10))
    run "pipelines_$part" "$build/test_pipelines" "$from" $((from + 10)) 6
  done
  for part in 0 1 2 3 4 5; do
    from=$((100 + part * 30))
    run "pairs_$part" "$build/test_pairs" "$from" $((from + 10))
  done
} | xargs -P "${JOBS:-6}" -I{} sh -c 'env {} >/dev/null 2>&1 || echo "a rule is broken: {}"'
