#!/usr/bin/env bash
# Shows the node with the project's own interface on a small fleet with stand-ins.
cd "$(dirname "$0")/.."
cargo build --locked --quiet
. scripts/fleet.sh
trap fleet_stop EXIT

echo "== Two services on four VMs: roundsheets calls tariffs through its own node"
fleet_platform
fleet_vm 1 bazaar roundsheets 50 2000 tariffs
fleet_vm 2 yard roundsheets 50 2000 tariffs
fleet_vm 3 bazaar tariffs 50 1000
fleet_vm 4 yard tariffs 50 1000
fleet_wait 4

echo "== An organisation with 5 calls a second and a burst of 10"
fleet_ctl 1 set organisation wardoffice rate 5 burst 10
fleet_ctl 2 set route sheets service roundsheets
fleet_ctl 3 set route tariffs service tariffs
key=$(fleet_ctl 4 add key to wardoffice | awk '/^key/ { print $2 }')
fleet_ctl 1 show organisations
fleet_ctl 1 show members

echo "== Calls with the key"
sleep 2
for vm in 1 2 3; do
  fleet_call "$vm" /roundsheets/today "$key"
  echo
done

echo "== More calls than the burst allows"
for call in $(seq 20); do
  fleet_call 1 /roundsheets/today "$key" --output /dev/null \
    --write-out '%{http_code} %header{filbertwheel-outcome} %header{filbertwheel-reason}\n'
done | sort | uniq -c

echo "== The key is withdrawn"
fleet_ctl 2 withdraw key "$key"
fleet_call 3 /roundsheets/today "$key" --include
echo
echo "== A graceful stop"
fleet_stop
grep -h "Stopped" "$FLEET_DIR"/vm*.log | wc -l | sed 's/$/ nodes stopped/'
