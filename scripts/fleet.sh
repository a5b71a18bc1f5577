# Functions that start and stop a small fleet on loopback. Sourced by the other scripts.
#
# Ports: FLEET_PORT is the platform's; VM number N has its doors at FLEET_PORT + 10 N: +0 for
# callers, +1 local, +2 for nodes, +3 for operators, +4 for the backend server.

set -euo pipefail

FLEET_PORT=${FLEET_PORT:-7000}
FLEET_BIN=${FLEET_BIN:-target/debug}
FLEET_DIR=${FLEET_DIR:-$(mktemp -d)}
FLEET_PIDS=()
export FILBERTWHEEL_OPERATOR_SECRET=${FILBERTWHEEL_OPERATOR_SECRET:-an-operator-secret}

fleet_platform() {
  "$FLEET_BIN/filbertwheel-platform-standin" store --listen "127.0.0.1:$FLEET_PORT" \
    2>"$FLEET_DIR/platform.log" &
  FLEET_PIDS+=($!)
}

# fleet_vm NUMBER DOMAIN SERVICE SLOTS WORK_US [CALLED_SERVICE ...]
fleet_vm() {
  local base=$((FLEET_PORT + 10 * $1)) calls=()
  cat >"$FLEET_DIR/vm$1.toml" <<TOML
vm = "vm$1"
region = "lahore"
domain = "$2"

[listen]
front = "127.0.0.1:$base"
local = "127.0.0.1:$((base + 1))"
peer = "127.0.0.1:$((base + 2))"
operator = "127.0.0.1:$((base + 3))"

[platform]
table = "127.0.0.1:$FLEET_PORT"
objects = "127.0.0.1:$FLEET_PORT"

[secrets]
fleet = "a-secret-of-the-fleet"
operator = "$FILBERTWHEEL_OPERATOR_SECRET"
TOML
  "$FLEET_BIN/filbertwheel-node" --settings "$FLEET_DIR/vm$1.toml" 2>"$FLEET_DIR/vm$1.log" &
  FLEET_PIDS+=($!)
  for called in "${@:6}"; do calls+=(--calls "$called"); done
  "$FLEET_BIN/filbertwheel-standin" backend --listen "127.0.0.1:$((base + 4))" \
    --node "127.0.0.1:$((base + 1))" --service "$3" --slots "$4" --work-us "$5" \
    ${calls[@]+"${calls[@]}"} 2>"$FLEET_DIR/backend$1.log" &
  FLEET_PIDS+=($!)
}

# fleet_ctl NUMBER COMMAND ...
fleet_ctl() {
  "$FLEET_BIN/filbertctl" --node "127.0.0.1:$((FLEET_PORT + 10 * $1 + 3))" "${@:2}"
}

# fleet_call NUMBER PATH KEY [CURL OPTION ...]
fleet_call() {
  curl --silent --show-error --max-time 10 --header "Filbertwheel-Key: $3" "${@:4}" \
    "http://127.0.0.1:$((FLEET_PORT + 10 * $1))$2"
}

# Waits until every VM from 1 to NUMBER serves.
fleet_wait() {
  local tries vm
  for vm in $(seq "$1"); do
    for tries in $(seq 100); do
      if curl --silent --max-time 1 --output /dev/null --fail \
        "http://127.0.0.1:$((FLEET_PORT + 10 * vm + 3))/healthz"; then
        break
      fi
      [ "$tries" -lt 100 ] || { echo "vm$vm does not serve" >&2; return 1; }
      sleep 0.1
    done
  done
}

# Stops everything gracefully, the platform last.
fleet_stop() {
  local pid
  for pid in "${FLEET_PIDS[@]:1}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${FLEET_PIDS[@]:1}"; do wait "$pid" 2>/dev/null || true; done
  [ ${#FLEET_PIDS[@]} -eq 0 ] || kill -TERM "${FLEET_PIDS[0]}" 2>/dev/null || true
  wait
  FLEET_PIDS=()
}
