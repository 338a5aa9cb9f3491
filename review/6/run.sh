#!/usr/bin/env bash
# Many consumers at once send requests with bodies below the limit of the
# manifest. See claim.txt. With TROUBLE=0 the same consumers come one after the
# other.
set -uo pipefail
cd "$(dirname "$0")/../.."
here=review/6
trouble=${TROUBLE:-1}
source review/support-2/common.sh

# The platform kills a process that exceeds memoryMb, here taken as MiB.
limit_kb=$((260 * 1024))
body=4000000
consumers=80

start_platform
put config main '{"version":7,
  "routes":[
    {"name":"chat","hostname":"a.example","pathPrefix":"/stream/",
     "routeType":"streaming","streamResume":false,"maxAttempts":1,
     "timeoutMs":15000,"targetLatencyMs":800,"priority":2,"service":"stylist"},
    {"name":"deposit","hostname":"a.example","pathPrefix":"/once/",
     "routeType":"non_idempotent","maxAttempts":2,"timeoutMs":1500,
     "targetLatencyMs":300,"priority":2,"service":"desk"}],
  "services":[
    {"name":"stylist","healthPath":"/healthz","maxConnections":360,
     "engine":{"batchSlots":64,"kvCapacity":337483}},
    {"name":"desk","healthPath":"/healthz","maxConnections":100}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
    "headerTimeoutMs":3000,"idleTimeoutMs":15000},
  "tenants":[{"name":"studio","apiKeys":["key-1"],"priority":1}]}'
for n in 1 2 3; do
  start_engine "stylist-$n" stylist 64 --answer-ms 300 --events 70 --event-ms 70
  start_engine "desk-$n" desk 6 --answer-ms 150
done
start_entry edge-1
entry_pid=$pid
await 10 knows_engines "$admin" 6 || give_up "engines not known"

resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$entry_pid/status"; }

# Plays the platform: kills the process when it exceeds its memory.
watch_memory() {
  local most=0 now
  while now=$(resident_kb 2>/dev/null) && [ -n "$now" ]; do
    if ((now > most)); then most=$now; fi
    echo "$most" >"$work/most"
    if ((now > limit_kb)); then
      echo "$now" >"$work/exceeded"
      kill -KILL "$entry_pid"
      return
    fi
    sleep 0.02
  done
}
watch_memory &
pids+=($!)
note "memory at the start: $(resident_kb) kB, allowed $limit_kb kB"

# Deposits on kept channels, all the while.
"$bin/consumers" --to "$entry" --count 8 --requests 60 --path /once/1 \
  --prefix deposit --deadline-ms 1500 --pause-ms 100 >"$work/deposits.txt" &
deposits=$!
pids+=("$deposits")
sleep 1

# Each consumer has used its channel before it sends the large request.
gap=66
if [ "$trouble" = 0 ]; then gap=1000; fi
"$bin/consumers" --to "$entry" --count $consumers --gap-ms $gap --requests 2 \
  --first-path /once/2 --first-body 100 --path /stream/1 --body $body \
  --prefix look --deadline-ms 15000 >"$work/looks.txt"
wait "$deposits"

cat "$work/looks.txt" "$work/deposits.txt" | sort -n >>"$record"
sort -n "$work"/stylist-*.log "$work"/desk-*.log | grep -v listening >>"$record"
note "memory at most: $(cat "$work/most") kB"
if [ -e "$work/exceeded" ]; then
  note "killed by the platform at $(cat "$work/exceeded") kB"
fi

# Requests on a used channel that an engine began to run and whose channel was
# closed without an answer.
lost=0
while read -r id; do
  if grep -qs " ran $id " "$work"/stylist-*.log "$work"/desk-*.log; then
    lost=$((lost + 1))
    note "lost: $id"
  fi
done < <(cat "$work/looks.txt" "$work/deposits.txt" | grep 'outcome=closed' |
  grep -v 'sequence=0 ' | sed 's/.* id=\([^ ]*\) .*/\1/')
broken=$(grep -c outcome=broken "$work/looks.txt")
note "passed on and closed without an answer: $lost (allowed 3);" \
  "streams broken off: $broken"
tail -n 3 "$record"
if ((lost > 3)); then exit 1; fi
exit 0
