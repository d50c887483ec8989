#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# With TROUBLE=0 it does the same without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
# Read by has_trouble() in review/standins-2/deployment.h.
export TROUBLE="${TROUBLE:-1}"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 target/review-2/all_killed "$folder" "$here/record.txt"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
