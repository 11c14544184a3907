# shellcheck shell=sh
# To be sourced by shell tests: expect runs a command and counts unexpected results in $fails.
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
