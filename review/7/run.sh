#!/usr/bin/env bash
# The engines of a service are replaced one after the other under steady load,
# then new consumers come. See claim.txt. With TROUBLE=0 no engine is replaced.
set -uo pipefail
cd "$(dirname "$0")/../.."
here=review/7
trouble=${TROUBLE:-1}
source review/support-2/common.sh

engines=9
slots=64
replacements=60
consumers=560
newcomers=1000

start_platform
put config main '{"version":7,
  "routes":[{"name":"look","hostname":"a.example","pathPrefix":"/once/",
    "routeType":"non_idempotent","maxAttempts":2,"timeoutMs":6000,
    "targetLatencyMs":800,"priority":1,"service":"stylist"}],
  "services":[{"name":"stylist","healthPath":"/healthz","maxConnections":360}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
    "headerTimeoutMs":3000,"idleTimeoutMs":15000},
  "tenants":[{"name":"studio","apiKeys":["key-1"],"priority":1}]}'

declare -A addresses engine_pids
add_engine() {
  start_engine "e$1" stylist $slots --answer-ms 600
  addresses[$1]=$address
  engine_pids[$1]=$pid
}
for n in $(seq $engines); do add_engine "$n"; done
start_entry edge-1
entry_pid=$pid
await 10 knows_engines "$admin" $engines || give_up "engines not known"

descriptors() { ls "/proc/$entry_pid/fd" | wc -l; }

# The platform's question for readiness, once a second, on a channel that it
# keeps open.
"$bin/consumers" --to "$ready" --count 1 --requests 110 --path /readyz \
  --prefix ready --pause-ms 1000 >"$work/ready.txt" &
pids+=($!)

# Consumers on kept channels, until the last engine has been replaced.
"$bin/consumers" --to "$entry" --count $consumers --requests $((replacements * 3 / 2)) \
  --path /once/1 --prefix steady --deadline-ms 6000 --pause-ms 100 \
  >"$work/steady.txt" &
steady=$!
pids+=("$steady")
note "descriptors of the entry instance before: $(descriptors), allowed 4100"

# Each second one engine is added and the oldest one leaves: it reports that it
# is draining, serves on for drainMs and a little longer, and ends.
begin=$SECONDS
for n in $(seq $replacements); do
  if [ "$trouble" != 0 ]; then
    add_engine $((engines + n))
    announce "e$n" stylist $slots "${addresses[$n]}" draining
    if ((n > 3)); then
      old=$((n - 3))
      call DELETE "$store" "/anvilloom/objects/servers/e$old" >/dev/null
      kill -TERM "${engine_pids[$old]}"
    fi
  fi
  if ((n % 10 == 0)); then
    note "after $((SECONDS - begin)) s: descriptors $(descriptors)"
  fi
  sleep 0.9
done
kill -TERM "$steady"
sleep 4
note "descriptors after the steady load: $(descriptors)"

# New consumers: one request each, then the channel is kept for five seconds.
from=$(awk "{print int(\$1 * 1000)}" /proc/uptime)
"$bin/consumers" --to "$entry" --count $newcomers --gap-ms 1 --requests 1 \
  --path /once/2 --prefix new --deadline-ms 5000 --pause-ms 5000 \
  >"$work/new.txt" &
new=$!
sleep 3
note "descriptors with the new consumers: $(descriptors)"
wait "$new"

{
  echo "Answers to the steady and to the new consumers:"
  for kind in steady new; do
    sed "s/.*status/$kind status/; s/ bytes.*//" "$work/$kind.txt" | sort |
      uniq -c
  done
  echo "Requests that engines began to run:" \
    "$(cat "$work"/e*.log | grep -c ' ran ')"
  sort -n "$work/new.txt"
  tail -n 15 "$work/ready.txt"
} >>"$record"

# The longest time without an answer on a new channel while seven consumers or
# more had opened theirs before it began and waited beyond it.
longest=$(sort -n "$work/new.txt" | awk -v from="$from" '
  function field(name, i) {
    for (i = 1; i <= NF; ++i)
      if (index($i, name "=") == 1) return substr($i, length(name) + 2)
  }
  { end = $1; begin = end - field("took_ms") }
  field("outcome") == "silent" { waiting[++count] = begin; until[count] = end }
  field("outcome") != "silent" { answered[++answers] = end }
  END {
    answered[0] = from
    for (i = 0; i <= answers; ++i) {
      start = answered[i]
      # The seventh longest wait of those that began before.
      split("", ends); n = 0
      for (j = 1; j <= count; ++j)
        if (waiting[j] <= start) ends[++n] = until[j]
      if (n < 7) continue
      for (a = 1; a <= 7; ++a)
        for (b = a + 1; b <= n; ++b)
          if (ends[b] > ends[a]) { t = ends[a]; ends[a] = ends[b]; ends[b] = t }
      stop = ends[7]
      if (i < answers && answered[i + 1] < stop) stop = answered[i + 1]
      if (stop - start > longest) longest = stop - start
    }
    print longest + 0
  }')
ready_all=yes
if grep -qv 'status=200' "$work/ready.txt"; then ready_all=no; fi
note "longest time in which seven or more consumers tried and no new channel" \
  "got an answer: $longest ms (contactMs 3000); ready all the while: $ready_all"
tail -n 1 "$record"
if ((longest > 3000)) && [ "$ready_all" = yes ]; then exit 1; fi
exit 0
