#!/bin/sh
# What an operator sees of wrong settings, policies and arguments. $1: hoprockd, $2: a policy
set -u
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
fails=0
expect() { # expected status, text in the output, command...
  want=$1 text=$2
  shift 2
  out=$("$@" 2>&1)
  got=$?
  if [ "$got" != "$want" ] || ! printf '%s' "$out" | grep -q -- "$text"; then
    echo "FAILED: $*: status $got (wanted $want), output: $out"
    fails=$((fails + 1))
  fi
}
expect 0 'hoprockd [0-9]' "$1" --version
expect 0 'check-policy' "$1" --help
expect 0 'is valid' "$1" --check-policy "$2"
expect 2 'are needed' "$1"
expect 2 'nknown option' "$1" --nonsense
expect 1 'No such file' "$1" --policy "$2" --config "$tmp/none.json"
echo '{"label":"a"}' >"$tmp/short.json"
expect 1 'setting area: expected' "$1" --policy "$2" --config "$tmp/short.json"
echo '{"label":' >"$tmp/cut.json"
expect 1 'not valid JSON' "$1" --policy "$2" --config "$tmp/cut.json"
sed 's/^tabu_rounds.*/tabu_rounds = 50 +;/' "$2" >"$tmp/p.hop"
expect 1 'p.hop:[0-9]*:[0-9]*: expected a number' "$1" --check-policy "$tmp/p.hop"
sed '/^tabu_rounds/d' "$2" >"$tmp/p.hop"
expect 1 'a line that sets tabu_rounds' "$1" --check-policy "$tmp/p.hop"
sed 's/^hold_s.*/hold_s = cancel_s;/' "$2" >"$tmp/p.hop"
expect 1 'below cancel_s' "$1" --check-policy "$tmp/p.hop"
sed 's/^overdue_s.*/overdue_s = report_s;/' "$2" >"$tmp/p.hop"
expect 1 'above 1.25 report_s' "$1" --check-policy "$tmp/p.hop"
sed 's/^silent_s =.*/silent_s = report_s;/' "$2" >"$tmp/p.hop"
expect 1 'at least overdue_s' "$1" --check-policy "$tmp/p.hop"
expect 2 'LOG_LEVEL' env LOG_LEVEL=loud "$1" --policy "$2" --config "$tmp/short.json"
exit "$fails"
