#!/usr/bin/env bash
# Case 3, see claim.txt. Exit 1: the rule was broken; 0: it held; 2: the case could not run.
exec bash "$(dirname "$0")/../run_case.sh" 3
