#!/usr/bin/env bash
# Plays a case: case.sh NUMBER PROGRAM TROUBLE. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case couldn't run.
set -u
cd "$(dirname "$0")/.." || exit 2
node=target/release/filbertwheel
case=target/review/release/$2
if [ ! -x "$node" ] || [ ! -x "$case" ]; then
  echo "build the node as the deploy file says, and run review/build.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2

# Ends the nodes that a case leaves behind if it is itself ended early.
clean_up() {
  while read -r pid; do
    if tr '\0' ' ' <"/proc/$pid/cmdline" | grep -qF "$folder"; then kill -KILL "$pid"; fi
  done <"$folder/pids" 2>/dev/null
  rm -rf "$folder"
}
trap clean_up EXIT

timeout 110 "$case" "$node" "$folder" "review/$1/record.txt" "$3"
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
