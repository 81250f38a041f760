#!/usr/bin/env bash
# Case 7, see claim.txt. Exit status 1: the rule was broken; 0: it held; 2: the case could not run.
exec "$(dirname "$0")/../standins-2/run" "$(dirname "$0")"
