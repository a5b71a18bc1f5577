#!/usr/bin/env bash
# Runs the case NAME of the stand-ins, and writes what was seen to FOLDER/record.txt.
# Usage: case-2.sh FOLDER NAME. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
set -uo pipefail
folder=$(cd "$1" && pwd) name=$2
cd "$(dirname "$0")/.."
cases=target/review-2/release/review-cases
if [ ! -x "$cases" ] || [ ! -x target/release/filbertwheel ]; then
  echo "build the node and review/build-2.sh first" | tee "$folder/record.txt"
  exit 2
fi
CASE_DIR=$(mktemp -d)
export CASE_DIR
# The stand-ins and the nodes that they start are one process group.
set -m
timeout --kill-after=1 --signal=KILL 115 "$cases" "$name" >"$folder/record.txt" 2>&1 &
group=$!
set +m
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$CASE_DIR"' EXIT
wait "$group"
code=$?
cat "$folder/record.txt"
[ "$code" -le 1 ] && exit "$code"
exit 2
