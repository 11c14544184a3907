#!/usr/bin/env bash
# Runs this case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not
# run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
# shellcheck source=review/stand2/run_case.sh
. review/stand2/run_case.sh
run_case "$here"
