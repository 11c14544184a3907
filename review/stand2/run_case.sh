#!/usr/bin/env bash
# Sourced by the run.sh of each case.

# Runs the case in folder $1 with the command of the deploy file, and exits with its code.
run_case () {
  local program command
  program=target/review-2/case-$(basename "$1")
  command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
  if [ ! -x "$program" ] || [ -z "$command" ]; then
    echo "not built: $program; see review/build-2.sh" >&2
    exit 2
  fi
  # The command of the deploy file is a program with its arguments.
  # shellcheck disable=SC2086
  timeout -k 2 118 "$program" "$1/record.txt" $command
  code=$?
  case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
  esac
}
