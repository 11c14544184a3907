#!/bin/sh
# Checks hoprockd's messages for invalid settings, policies and arguments. $1: hoprockd, $2: a policy
set -u
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
# shellcheck source=tests/expect.sh
. "$(dirname "$0")/expect.sh"
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
cat >"$tmp/whole.json" <<'EOF'
{"label":"a","area":"z","front":"127.0.0.1:8080","back":"127.0.0.1:8081",
 "members":[{"label":"b","area":"z","endpoint":"127.0.0.1:8082"}],
 "outside":{"cloud":"127.0.0.1:8443","state":"127.0.0.1:2379"},
 "facts":{"teams":[{"name":"t","cpus":0,"cpus_max":0,"gpus":0,"gpus_max":0}],"objectives":[],
  "workers":{"report_s":2.5,"lease_s":14.0,"gang_wait_s":30.0,"gang_peer_s":4.0,"cancel_s":34.0},
  "state":{"rps":100.0,"write_rps":15.0,"value_kb":4.0,"txn_ops":12},
  "cloud":{"rps":8.0,"list_lag_s":3.0}}}
EOF
expect 0 'answers workers for up to 17 s' "$1" --policy "$2" --config "$tmp/whole.json" --check-config
sed 's/^{/{"x":[18446744073709551615,1e999,"\\u0000"],/; s/"rps":8.0/"x":-1e999,"x":0,&/' "$tmp/whole.json" >"$tmp/later.json"
expect 0 'answers workers for up to 17 s' "$1" --policy "$2" --config "$tmp/later.json" --check-config
expect 1 'setting area: expected' "$1" --policy "$2" --config "$tmp/short.json" --check-config
expect 2 'expected text or json, not xml' "$1" --log-format xml
expect 2 'LOG_LEVEL' env LOG_LEVEL=loud "$1" --policy "$2" --config "$tmp/short.json"
exit "$fails"
