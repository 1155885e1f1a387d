#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/review-cases ] || exit 2
target/review-3/review-cases waits review/15
status=$?
[ "$status" -le 2 ] || exit 2
exit "$status"
