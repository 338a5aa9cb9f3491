#!/usr/bin/env bash
# Measures the latency that an entry instance adds to plain calls and streams,
# compared with the same load sent directly to the stand-ins, and its memory at
# two numbers of open streams. Needs a build in the folder given as the first
# argument, build/ by default. All programs listen on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait' EXIT
logs=$(mktemp -d)

"$build"/standins/standin_objects --listen 127.0.0.1:9000 >"$logs/objects" 2>&1 &
pids+=($!)
"$build"/standins/standin_engine --listen 127.0.0.1:9101 \
  --first-token-us 51000 --token-interval-us 51000 --slots 4096 >"$logs/engine" 2>&1 &
pids+=($!)
"$build"/standins/standin_service --listen 127.0.0.1:9201 >"$logs/service" 2>&1 &
pids+=($!)
"$build"/entry/anvilloom --settings example/settings/entry-a.json >"$logs/entry" 2>&1 &
entry=$!
pids+=("$entry")

folder=$(mktemp -d)
cp example/configuration/*.json "$folder/"
# A single engine serves both the direct and the proxied load. It sends one token
# every 51 ms regardless of its batch size. The latency targets are far above
# that, so that no request is refused.
echo '{"upstreams": {"engine-2": null, "engine-1": {"slots": 4096}},
       "services": {"styling-plan": {"first_token_ms": 20000, "token_interval_ms": 10000}},
       "limits": {"open_requests_per_workspace": 4096},
       "workspaces": {"studio-one": {"requests_per_second": 0, "tokens_per_second": 0}}}' \
  >"$folder/90-measure.json"
sleep 1
"$build"/ctl/anvilloomctl publish "$folder"
for _ in $(seq 100); do
  curl -fsS -o /dev/null http://127.0.0.1:8081/readyz 2>/dev/null && break
  sleep 0.1
done

resident() { awk '/VmRSS/ {print $2}' "/proc/$entry/status"; }

echo "Plain calls, one client:"
"$build"/tools/load_generator --direct 127.0.0.1:9201 --through 127.0.0.1:8081 \
  --entry-pid "$entry" --concurrency 1 --repeats 2000
echo "Plain calls, 16 clients:"
"$build"/tools/load_generator --direct 127.0.0.1:9201 --through 127.0.0.1:8081 \
  --entry-pid "$entry" --concurrency 16 --repeats 500
for streams in 140 560; do
  before=$(resident)
  echo "$streams streams of 100 tokens, one token every 51 ms:"
  "$build"/tools/load_generator --direct 127.0.0.1:9101 --through 127.0.0.1:8081 \
    --entry-pid "$entry" --concurrency "$streams" --repeats 1 --tokens 100 \
    --rounds 1 &
  load=$!
  sleep 8
  during=$(resident)
  wait "$load" || true
  echo "entry instance memory: ${before} KB before, ${during} KB during"
done
