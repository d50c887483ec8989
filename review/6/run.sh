#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 target/review-2/moved_flows "$folder" "$here/record.txt"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
