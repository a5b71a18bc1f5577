#!/usr/bin/env bash
# Shows case 14. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
# TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
judge=target/review-3/release/review3
[ -x "$judge" ] || { echo "run review/build-3.sh first" >&2; exit 2; }
exec "$judge" departure review/14/record.txt
