#!/usr/bin/env bash
# check_digests.sh EXPECTED FOLDER: compares the digests of simulated days that the tests have written to
# FOLDER, one file per test, with the file EXPECTED.
# check_digests.sh --write EXPECTED FOLDER: overwrites EXPECTED, for an intended change of behaviour that its
# commit message states.
set -euo pipefail
write=no
if [ "$1" = --write ]; then
  write=yes
  shift
fi
expected=$1
folder=$2
found=$(mktemp)
trap 'rm -f "$found"' EXIT
for file in "$folder"/*; do
  awk -v "name=$(basename "$file")" '{ print name, NR, $0 }' "$file"
done | LC_ALL=C sort -k1,1 -k2,2n >"$found"
if [ "$write" = yes ]; then
  cp "$found" "$expected"
  exit 0
fi
diff "$expected" "$found"
