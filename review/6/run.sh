#!/usr/bin/env bash
# One part of long prompts crashes the engines. See claim.txt. With TROUBLE=0 a
# harmless part stands in its place. PARTS=N gives the prompts N shared parts
# besides (17 if unset).
set -uo pipefail
cd "$(dirname "$0")/../.."
here=review/6
trouble=${TROUBLE:-1}
shared=${PARTS:-17}
source review/support-2/common.sh

engines=9
attempts=50

start_platform
put config main '{"version":7,
  "routes":[{"name":"look","hostname":"a.example","pathPrefix":"/stream/",
    "routeType":"streaming","streamResume":false,"maxAttempts":1,
    "timeoutMs":6000,"targetLatencyMs":800,"priority":1,"service":"stylist",
    "sessionAffinity":true,"targetGapMs":300}],
  "services":[{"name":"stylist","healthPath":"/healthz","maxConnections":360,
    "engine":{"batchSlots":64,"kvCapacity":337483}}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
    "headerTimeoutMs":3000,"idleTimeoutMs":15000},
  "tenants":[{"name":"studio","apiKeys":["key-1"],"priority":1}]}'

# An engine that has crashed is back after two seconds, with a new `born`.
for n in $(seq $engines); do
  free_port
  start "stylist-$n" "$bin/engine" --listen "127.0.0.1:$port" \
    --id "stylist-$n" --slots 64 --answer-ms 150 --events 13 --event-ms 40 \
    --deadly dead --restart-ms 2000 --store "$store" --service stylist
done
start_entry edge-1
await 10 knows_engines "$admin" $engines || give_up "engines not known"

# The parts that all prompts share.
parts=$(for n in $(seq "$shared"); do printf 'a%02x:200,' "$n"; done)
tokens=$((shared * 200 + 400))
last=fade
if [ "$trouble" != 0 ]; then last=dead; fi
headers="X-Model: m|X-Token-Counts: $tokens,52"

# Sound requests, all the while.
"$bin/consumers" --to "$entry" --count 12 --requests 100 --path /stream/1 \
  --prefix sound --deadline-ms 6000 --pause-ms 100 --gap-ms 60 --reconnect 1 \
  --headers "$headers|X-Prefix-Hash: ${parts}beef:200,%U:200" \
  >"$work/sound-1.txt" &
pids+=($!)
sleep 3
"$bin/consumers" --to "$entry" --count $attempts --gap-ms 700 --requests 1 \
  --path /stream/2 --prefix other --deadline-ms 6000 \
  --headers "$headers|X-Prefix-Hash: ${parts}$last:200,%U:200" \
  >"$work/other.txt"

cat "$work"/stylist-*.log | grep -v listening | sort -n >"$work/engines.txt"
{
  echo "Sent and answered, as seen by the consumers:"
  cat "$work/other.txt" "$work/sound-1.txt" | sort -n
  echo "Run, as seen by the engines:"
  cat "$work/engines.txt"
  grep -h prompt_part "$work"/edge-*.log
} >>"$record"
sent=$(wc -l <"$work/other.txt")
served=$(grep -c 'status=200 outcome=complete' "$work/sound-1.txt")
if ((sent != attempts || served < 100)); then
  give_up "$sent requests with the part were sent, $served sound ones served"
fi
fifth=$(awk '$2 == "crashed-by" && ++n == 5 {print $1}' "$work/engines.txt")
crashes=$(grep -c crashed-by "$work/engines.txt")
if [ -z "$fifth" ]; then
  note "engines crashed: $crashes; no fifth crash"
  tail -n 1 "$record"
  exit 0
fi
# Sent by an entry instance later than contactMs after the fifth crash.
late=$(awk -v from=$((fifth + 3000)) \
  '$2 == "ran" && $3 ~ /^other/ && $1 > from' "$work/engines.txt" | wc -l)
# Sound requests that an engine was running when it crashed later than that.
lost=$(awk -v from=$((fifth + 3000)) '
  $2 == "ran" && $3 ~ /^sound/ { running[$4 " " $3] = 1 }
  $2 == "answered" || $2 == "left-by-caller" { delete running[$4 " " $3] }
  $2 == "crashed-by" {
    for (each in running) {
      split(each, part, " ")
      if (part[1] == $4) {
        if ($1 > from) ++lost
        delete running[each]
      }
    }
  }
  END { print lost + 0 }' "$work/engines.txt")
note "engines crashed: $crashes; requests with the part that reached engines" \
  "later than 3 s after the fifth crash: $late (allowed 3); sound requests" \
  "that ran on the engines that crashed then: $lost"
tail -n 1 "$record"
if ((late > 3)); then exit 1; fi
exit 0
