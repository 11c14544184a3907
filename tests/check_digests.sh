#!/usr/bin/env bash
# check_digests.sh EXPECTED FOLDER: compares the digests of the simulated days that the tests have just
# written to FOLDER, a file a test, with those written down. --write EXPECTED FOLDER writes them down:
# for a change of behaviour that is meant, and said in its commit.
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
