#!/usr/bin/env bash
# Starts the stand-ins and three instances as separate processes on loopback, sends
# model requests of two tiers and one booking, prints the answers and the recorded
# decisions on one request, and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."

config=examples/demo
logs=$(mktemp -d)
pids=()
names=()
callers=127.0.0.1:23001,127.0.0.1:23002,127.0.0.1:23003
operator=127.0.0.1:23011

# stop_all stops the processes that this script started and removes their logs.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$logs"
}
trap stop_all EXIT

# start runs a command in the background under a name, with its output in a log file.
start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
}

# fail prints a message and the end of every log, and exits.
fail() {
  echo "$1" >&2
  tail -n 20 "$logs"/*.log >&2 || true
  exit 1
}

# need_free exits when another process listens at one of the given addresses.
need_free() {
  local address
  for address in "$@"; do
    if (exec 3<>"/dev/tcp/${address%:*}/${address#*:}") 2>/dev/null; then
      echo "another process listens at $address" >&2
      exit 1
    fi
  done
}

# need_alive fails when a process that this script started is no longer running.
need_alive() {
  local i
  for i in "${!pids[@]}"; do
    if ! kill -0 "${pids[$i]}" 2>/dev/null; then
      fail "process ${names[$i]} has ended"
    fi
  done
}

# wait_ready waits until an instance accepts requests. It fails after 150 checks, which
# take at least 30 s.
wait_ready() {
  local address=$1 tries
  for tries in $(seq 150); do
    need_alive
    if bin/sassafrasrail ready --operate "$address" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.2
  done
  fail "instance at $address did not become ready"
}

# expect prints an answer and fails when its outcome is not the expected one.
expect() {
  local answer=$1 outcome=$2
  echo "$answer"
  need_alive
  if ! grep -q "^outcome: $outcome$" <<<"$answer"; then
    fail "expected the outcome $outcome"
  fi
}

sets=()
for part in "$config"/manifest/*.ini; do
  name=$(basename "$part" .ini)
  key=manifest/$name
  [ "$name" = root ] && key=manifest
  sets+=(--set "$key=$part")
done

need_free 127.0.0.1:23090 127.0.0.1:23101 127.0.0.1:23102 127.0.0.1:23103 127.0.0.1:23111
for i in 1 2 3; do
  need_free "127.0.0.1:2300$i" "127.0.0.1:2301$i" "127.0.0.1:2302$i"
done

start platform bin/standin platform --listen 127.0.0.1:23090 "${sets[@]}" \
  --instance 127.0.0.1:23021@brno-a --instance 127.0.0.1:23022@brno-a --instance 127.0.0.1:23023@brno-b
start runner01 bin/standin engine --listen 127.0.0.1:23101 --slots 4 --cold 1 --prefill 4000 --step 25ms
start runner02 bin/standin engine --listen 127.0.0.1:23102 --slots 8 --cold 2 --prefill 8000 --step 20ms
start runner03 bin/standin engine --listen 127.0.0.1:23103 --slots 8 --cold 2 --prefill 8000 --step 20ms
start booking01 bin/standin service --listen 127.0.0.1:23111 --once book
for i in 1 2 3; do
  start "instance$i" bin/sassafrasrail serve --settings "$config/instance$i.ini"
done
for i in 1 2 3; do
  wait_ready "127.0.0.1:2301$i"
done
echo "processes: ${pids[*]}"

echo "== two questions of the tier urgent"
for question in "Which loads wait at gate 2?" "Draft the freshness report of load 17."; do
  urgent=$(bin/sassafrasrail send --to "$callers" --key demo-urgent-key --model intake-assistant --tokens 24 "$question") || true
  expect "$urgent" complete
done

echo "== one draft of the tier batch"
batch=$(bin/sassafrasrail send --to "$callers" --key demo-batch-key --model intake-assistant --tokens 24 "Summarise last week's loads.") || true
expect "$batch" complete

echo "== one booking"
booking=$(bin/sassafrasrail call --to "$callers" --key demo-urgent-key --service intake --operation book "load 17, gate 2") || true
expect "$booking" complete

echo "== why the last question went where it did"
ticket=$(sed -n 's/^ticket: //p' <<<"$urgent")
bin/sassafrasrail explain --operate "$operator" "$ticket" || fail "explain of ticket $ticket failed"

echo "== stopping"
stop_all
trap - EXIT
echo "demo: done"
