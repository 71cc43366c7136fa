#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lavendertallyd ] && [ -x target/review-3/lateheartbeat ] || exit 2
timeout --kill-after=2 100 target/review-3/lateheartbeat review/15
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
