# Shared by the scripts here: starts stand-ins and doors as processes of their own, and ends only those.
# Source it after setting `base_port` and, if wished, `bin`.

bin=${BIN:-../../target/release}
folder=$(mktemp -d)
pids=()

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2> /dev/null || true; done
  pids=()
}
trap 'stop_all; rm -rf "$folder"' EXIT

start() {
  "$@" 2>> "$folder/log" &
  pids+=($!)
}

# Waits until a URL answers well.
wait_for() {
  local tries
  for ((tries = 0; tries < 400; tries++)); do
    curl -fsS -o /dev/null "$@" 2> /dev/null && return
    sleep 0.05
  done
  echo "never: $*" >&2
  cat "$folder/log" >&2
  exit 1
}
