#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-4 ] || exit 2
CASE_FOLDER=review/4 timeout -k 2 115 target/review-2/case-4
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
