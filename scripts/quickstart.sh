#!/usr/bin/env bash
# Builds anvilloom, starts two entry instances with stand-ins for the object API
# and the upstreams, publishes the example configuration, and prints a streamed
# answer and the answer to a plain call. All programs listen on loopback and are
# stopped when the script exits.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_dependencies.sh
cmake -G Ninja -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build --target anvilloom anvilloomctl standin_objects \
  standin_engine standin_service

pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
}
trap stop_all EXIT

logs=$(mktemp -d)
start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

start objects build/standins/standin_objects --listen 127.0.0.1:9000
start engine-1 build/standins/standin_engine --listen 127.0.0.1:9101
start engine-2 build/standins/standin_engine --listen 127.0.0.1:9102
start booking-1 build/standins/standin_service --listen 127.0.0.1:9201
start entry-a build/entry/anvilloom --settings example/settings/entry-a.json
start entry-b build/entry/anvilloom --settings example/settings/entry-b.json

await() {
  for _ in $(seq 100); do
    if curl -fsS -o /dev/null "$1" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "No answer from $1; the logs are in $logs." >&2
  return 1
}

await http://127.0.0.1:9000/objects/configuration
build/ctl/anvilloomctl publish example/configuration
await http://127.0.0.1:8081/readyz
await http://127.0.0.1:8082/readyz

echo "A streamed answer from entry-a:"
curl -fsSN http://127.0.0.1:8081/v1/chat/completions \
  -H 'Authorization: Bearer example-credential' \
  -d '{"model":"styling-plan","stream":true,"max_tokens":12,
       "messages":[{"role":"user","content":"A plan for a morning wedding."}]}'
echo "A slot check through entry-b:"
curl -fsS http://127.0.0.1:8082/s/slot-check/slots/7 \
  -H 'Authorization: Bearer example-credential'
echo
