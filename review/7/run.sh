#!/usr/bin/env bash
# A part of prompts crashes the engines, and all entry instances are killed now
# and then. See claim.txt. With TROUBLE=0 no entry instance is killed.
set -uo pipefail
cd "$(dirname "$0")/../.."
here=review/7
trouble=${TROUBLE:-1}
source review/support-2/common.sh

engines=9
instances=3
rounds=8
round_s=12

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
entries=() readies=() entry_pids=()
for n in $(seq $instances); do
  start_entry "edge-$n"
  entries+=("$entry") readies+=("$ready") entry_pids+=("$pid")
  await 10 knows_engines "$admin" $engines || give_up "engines not known"
done

headers="X-Model: m|X-Token-Counts: 1000,52"
# Sound requests, all the while; a consumer whose channel has been closed opens
# another one.
"$bin/consumers" --to "$(IFS=,; echo "${entries[*]}")" --count 12 \
  --requests 200 --path /stream/1 --prefix sound --deadline-ms 6000 \
  --pause-ms 200 --gap-ms 20 --reconnect 1 \
  --headers "$headers|X-Prefix-Hash: a1:300,beef:300,%U:400" \
  >"$work/sound.txt" &
pids+=($!)

# Sends one request with the part to one of the instances.
send_deadly() {
  "$bin/consumers" --to "${entries[$((RANDOM % instances))]}" --requests 1 \
    --path /stream/2 --prefix "other-$1" --deadline-ms 6000 \
    --headers "$headers|X-Prefix-Hash: a1:300,dead:300,%U:400" \
    >>"$work/other.txt"
}

restart_all() {
  local n
  kill -KILL "${entry_pids[@]}"
  note "$(awk '{print int($1 * 1000)}' /proc/uptime) killed all entry instances"
  sleep 0.5
  for n in $(seq $instances); do
    ready=${readies[$((n - 1))]}
    start_entry_process "edge-$n"
    entry_pids[n - 1]=$pid
  done
}

# Each instance has been running for contactMs (3 s) and more when it gets one.
for round in $(seq $rounds); do
  begin=$(date +%s%N)
  if [ "$trouble" != 0 ] && ((round > 1)); then restart_all 2>/dev/null; fi
  sleep 5
  send_deadly "$round-1"
  sleep 3
  send_deadly "$round-2"
  left=$((round_s * 1000 - ($(date +%s%N) - begin) / 1000000))
  if ((left > 0)); then sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"; fi
done

cat "$work"/stylist-*.log | grep -v listening | sort -n >"$work/engines.txt"
{
  echo "Sent and answered, as seen by the consumers:"
  cat "$work/other.txt" "$work/sound.txt" | sort -n
  echo "Run, as seen by the engines:"
  cat "$work/engines.txt"
  grep -h prompt_part "$work"/edge-*.log
} >>"$record"
sent=$(wc -l <"$work/other.txt")
served=$(grep -c 'status=200 outcome=complete' "$work/sound.txt")
if ((sent != rounds * 2 || served < 100)); then
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
