#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review/case-$(basename "$here")
[ -x "$program" ] && [ -x target/platform/rosemarydrum-forwarder ] || exit 2
timeout --kill-after=5 115 "$program" "$here/record.txt"
status=$?
[ $status -le 1 ] && exit $status
exit 2
