#!/usr/bin/env bash
# Builds all and shows the main job on stand-ins: a store, four nodes with their backend servers, and
# callers of two organisations. Round sheets call ticket prices; everything is on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --quiet
bin=target/debug
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; rm -rf "$dir"' EXIT
store=127.78.0.1:7600

settings() { # VM SERVICE
  cat <<TOML
vm = "vm$1"
region = "lahore"
domain = "domain$(($1 % 2))"
service = "$2"

[listen]
callers = "127.78.1.$1:7502"
readiness = "127.78.1.$1:7503"
reports = "127.78.1.$1:7504"
peers = "127.78.1.$1:7505"
metrics = "127.78.1.$1:7506"

[store]
address = "$store"

[retries]
ratio = 0.2
slack = 50
window_s = 10

[timing]
beat_ms = 500
grace_s = 4
TOML
}

configure() { # VERSION KEYS RATE
  curl --silent --fail --request POST "http://$store/operator/config" --data @- <<JSON
{"version":"r$1","routes":[
 {"name":"sheets","host":"rounds.example","prefix":"/sheets/","kind":"safe","timeout_ms":2000,
  "target_latency_ms":300,"priority":1,"service":"rounds","max_attempts":2},
 {"name":"prices","host":"inner.example","prefix":"/prices/","kind":"safe","timeout_ms":1000,
  "target_latency_ms":200,"service":"prices","max_attempts":2,"no_auth":true}],
 "tenants":[{"name":"ward","api_keys":[$2],"rate_per_s":$3,"burst":$3},
  {"name":"city","api_keys":["citykey"],"rate_per_s":1000,"burst":1000}]}
JSON
}

callers() { # KEY RATE
  "$bin/filbertwheel-platform-standin" callers --host rounds.example --path /sheets/today \
    --node 127.78.1.1:7502 --node 127.78.1.2:7502 --key "$1" --rate "$2" --seconds 3
}

echo "== A store, four nodes and four backend servers"
"$bin/filbertwheel-platform-standin" store --listen "$store" 2>/dev/null & pids+=($!)
for vm in 1 2 3 4; do
  service=rounds calls=(--call inner.example/prices/today --call inner.example/prices/old)
  if [ "$vm" -gt 2 ]; then service=prices calls=(); fi
  settings "$vm" "$service" >"$dir/vm$vm.toml"
  "$bin/filbertwheel" --settings "$dir/vm$vm.toml" --check
  "$bin/filbertwheel" --settings "$dir/vm$vm.toml" >"$dir/vm$vm.log" & pids+=($!)
  "$bin/filbertwheel-platform-standin" server --listen "127.78.1.$vm:7501" \
    --reports "127.78.1.$vm:7504" --node "127.78.1.$vm:7502" --service "$service" \
    --slots 20 --work-ms 10 ${calls[@]+"${calls[@]}"} 2>/dev/null & pids+=($!)
done
for _ in $(seq 50); do configure 1 '"wardkey"' 20 2>/dev/null && break; sleep 0.1; done
for vm in 1 2 3 4; do
  for _ in $(seq 50); do
    curl --silent --fail "http://127.78.1.$vm:7503/filbertwheel/readiness" && break
    sleep 0.1
  done
done
sleep 2

echo "== Both organisations within their rates: all answered with 200"
callers wardkey 15 & pid=$!
callers citykey 100
wait "$pid"
echo "== The small one at four times its rate of 20 a second: the rest gets 429 at once"
callers wardkey 80
echo "== Its key is withdrawn: 401"
configure 2 '"another"' 20
sleep 1
callers wardkey 10
echo "== Why was a request refused? From its log line:"
grep -h '"outcome":"not-run"' "$dir/vm1.log" | tail -n 1
echo "== A graceful stop of all nodes"
kill -TERM "${pids[@]}"
for pid in "${pids[@]}"; do wait "$pid" || true; done
grep -h '"node: Stopped."' "$dir"/vm*.log | wc -l | sed 's/$/ nodes stopped/'
pids=()
