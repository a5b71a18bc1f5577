#!/usr/bin/env bash
# Measures a node's memory and processor time: idle, with 1,200 idle connections, and beats.
cd "$(dirname "$0")/.."
cargo build --release --locked --quiet
export FLEET_BIN=target/release FLEET_PORT=${FLEET_PORT:-7200}
. scripts/fleet.sh
trap fleet_stop EXIT

ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident() { awk '/^VmRSS/ { print $2 " kB" }' "/proc/$1/status"; }
threads() { awk '/^Threads/ { print $2 }' "/proc/$1/status"; }

# share PID SECONDS: percent of a core over that time.
share() {
  local before
  before=$(ticks "$1")
  sleep "$2"
  echo "$1 $2 $before $(ticks "$1")" |
    awk -v hz="$(getconf CLK_TCK)" '{ printf "%.2f%%\n", ($4 - $3) * 100 / hz / $2 }'
}

fleet_platform
fleet_vm 1 bazaar roundsheets 50 2000
root=${FLEET_PIDS[1]}
fleet_wait 1
fleet_vm 2 yard roundsheets 50 2000
child=${FLEET_PIDS[3]}
fleet_wait 2
fleet_ctl 1 set organisation wardoffice rate 5 burst 10
echo "idle root: $(resident "$root"), $(threads "$root") threads, $(share "$root" 20) of a core"
echo "idle child: $(resident "$child"), $(threads "$child") threads, $(share "$child" 20) of a core"
"$FLEET_BIN/filbertwheel-slopes" connections --target "127.0.0.1:$((FLEET_PORT + 20))" \
  --count 1200 --seconds 12 &
holder=$!
sleep 4
echo "child with 1,200 connections: $(resident "$child"), $(share "$child" 5) of a core"
wait "$holder"
