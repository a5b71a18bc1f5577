#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# out the kill of the nodes.
set -u
cd "$(dirname "$0")/../.." || exit 2
node=target/release/filbertwheel
case=target/review/release/departure
[ -x "$node" ] && [ -x "$case" ] || { echo "build the node and run review/build.sh first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 110 "$case" "$node" "$folder" review/2/record.txt "${TROUBLE:-1}"
status=$?
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
