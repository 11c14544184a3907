#!/usr/bin/env bash
# check_docs.sh [ROOT]: fails when a documentation page names a file or function that does not exist: paths
# (src/, tests/, docs/, deploy/), sources by their bare name (replica.c) and functions hr_*; or names a function
# with a file that does not define it (replica.c:hr_replica_read).
# A function exists if a source or header of src/ or tests/ declares or defines it; a mention in a comment does
# not count.
set -euo pipefail
export LC_ALL=C
cd "${1:-$(dirname "$0")/..}"
pages=(docs/architecture.md docs/runbook.md docs/design.md docs/meetings.md docs/pipelines.md docs/operations.md
  docs/upgrades.md docs/search.md docs/emulator.md docs/questions.md README.md CONTRIBUTING.md)
missing=0

report () {
  echo "$1: no such $2: $3"
  missing=$((missing + 1))
}

# Prints the distinct matches of the pattern in a page.
words () {
  grep -oE "$2" "$1" | sort -u || true
}

declared=$(find src tests -name '*.[ch]' -exec cat {} + |
  grep -oE '^([A-Za-z_][A-Za-z_0-9 *]*[ *])?hr_[a-z0-9_]+( \(|;| =|\[)' |
  grep -oE 'hr_[a-z0-9_]+' | sort -u)
sources=$(find src tests -name '*.[ch]' -exec basename {} \; | sort -u)

for page in "${pages[@]}"; do
  if [ ! -f "$page" ]; then
    report "$page" page "$page"
    continue
  fi
  for path in $(words "$page" '(src|tests|docs|deploy)/[A-Za-z0-9_./-]*[A-Za-z0-9_/]'); do
    [ -e "$path" ] || report "$page" file "$path"
  done
  for name in $(words "$page" '(^|[^A-Za-z0-9_.-])[a-z0-9_]+\.[ch]([^A-Za-z0-9_]|$)' | grep -oE '[a-z0-9_]+\.[ch]'); do
    grep -qxF "$name" <<<"$sources" || report "$page" source "$name"
  done
  for name in $(words "$page" '(^|[^A-Za-z0-9_])hr_[a-z0-9_]+' | grep -oE 'hr_[a-z0-9_]+'); do
    grep -qxF "$name" <<<"$declared" || report "$page" function "$name"
  done
  for pair in $(words "$page" '[a-z0-9_]+\.c:hr_[a-z0-9_]+'); do
    [ -n "$(find src -name "${pair%%:*}" -exec grep -lE "^${pair#*:} \(" {} +)" ] || report "$page" definition "$pair"
  done
done

[ "$missing" -eq 0 ] || exit 1
