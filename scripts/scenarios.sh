#!/usr/bin/env bash
# Runs scenarios on real processes, one after another: all of them, or those named.
# Those that KNOWN-RED.txt lists are run and shown too, but don't count.
#
#   ./scripts/scenarios.sh [NAME ...]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --locked --quiet
names=("$@")
[ ${#names[@]} -gt 0 ] || names=($(cd scenarios && ls ./*.scenario | sed 's|^\./||; s|\.scenario$||'))
files=$(mktemp -d)
failed=0
for name in "${names[@]}"; do
  red=$(grep -s "^${name//-/_} " KNOWN-RED.txt || true)
  outcome=passed
  target/debug/filbertwheel-scenario --files "$files" "scenarios/$name.scenario" || outcome=failed
  if [ -n "$red" ]; then
    outcome="$outcome (known to fail: $red)"
  elif [ "$outcome" = failed ]; then
    failed=1
  fi
  echo "-- $name $outcome"
done
echo "Settings and logs are in $files."
exit "$failed"
