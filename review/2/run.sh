#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0
# no node is killed.
exec "$(dirname "$0")/../case.sh" 2 departure "${TROUBLE:-1}"
