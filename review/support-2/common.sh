# Functions of the review scripts. A script sets `here`, its folder, and sources
# this file in the repository's root.

bin=target/review-2
work=$(mktemp -d)
record=$here/record.txt
pids=()
: >"$record"

# Ends all processes that this script started.
finish() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

note() { echo "$*" >>"$record"; }

# Ends the script because the case could not run.
give_up() {
  note "could not run: $*"
  echo "could not run: $*" >&2
  exit 2
}

# Prints a port on which nothing listens, a different one at each call.
next_port=$((20000 + RANDOM % 10000))
free_port() {
  while :; do
    next_port=$((next_port + 1))
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; then
      port=$next_port
      return
    fi
  done
}

# start NAME COMMAND...: runs a program in the background, its output in a file.
# Sets `pid`.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pid=$!
  pids+=("$pid")
}

# await SECONDS COMMAND...: runs the command until it succeeds.
await() {
  local until=$((SECONDS + $1))
  shift
  while ((SECONDS < until)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  return 1
}

call() { "$bin/call" "$@"; }

start_platform() {
  free_port
  store=127.0.0.1:$port
  start platform "$bin/platform" --listen "$store"
  await 10 call GET "$store" /anvilloom/objects/servers || give_up "no store"
}

# put KIND NAME SPEC: creates or replaces an object.
put() {
  local body="{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}"
  if call POST "$store" "/anvilloom/objects/$1" "$body" | grep -q 409; then
    call PUT "$store" "/anvilloom/objects/$1/$2" "$body" >/dev/null
  fi
}

# start_engine ID SERVICE SLOTS OPTIONS...: starts and announces an engine. Sets
# `pid` and `address`.
start_engine() {
  local id=$1 service=$2 slots=$3
  shift 3
  free_port
  address=127.0.0.1:$port
  start "$id" "$bin/engine" --listen "$address" --id "$id" --slots "$slots" "$@"
  await 10 grep -q listening "$work/$id.log" || give_up "no engine"
  announce "$id" "$service" "$slots" "$address" ready
}

announce() {
  put servers "$1" "{\"service\":\"$2\",\"address\":\"$4\",\"zone\":\"zone-a\",\
\"version\":\"1\",\"batchSlots\":$3,\"state\":\"$5\",\"coldRemainingMs\":0,\
\"sequence\":1,\"born\":1700000000000}"
}

# start_entry NAME: starts an entry instance with the command of the deploy file
# and the settings that its template gives. Sets `pid` and the addresses
# `entry`, `ready` and `admin`.
start_entry() {
  local name=$1
  free_port; entry=127.0.0.1:$port
  free_port; ready=127.0.0.1:$port
  free_port; admin=127.0.0.1:$port
  free_port; report=127.0.0.1:$port
  write_settings "$name"
  start_entry_process "$name"
}

write_settings() {
  cat >"$work/$1.json" <<SETTINGS
{
  "name": "$1",
  "failure_domain": "zone-a",
  "listen": "$entry",
  "ready_listen": "$ready",
  "admin_listen": "$admin",
  "report_listen": "$report",
  "store": "$store",
  "cloud": "$store",
  "threads": 1,
  "descriptors": 4100,
  "memory_mb": 260,
  "stop_limit_s": 8,
  "lease_ms": 3000,
  "usage_window_s": 5,
  "usage_due_s": 10,
  "retry_share": 0.2,
  "retry_extra": 54,
  "retry_window_s": 10,
  "manifest_apply_ms": 2000,
  "upstream_drain_ms": 2000
}
SETTINGS
}

# The platform gives a process 4,100 descriptors (maxFds).
start_entry_process() {
  local name=$1
  (
    ulimit -n 4100
    ANVILLOOM_CONFIG="$work/$name.json" exec target/entry/anvilloom --platform
  ) >>"$work/$name.log" 2>&1 &
  pid=$!
  pids+=("$pid")
  await 15 is_ready "$ready" || give_up "the entry instance is not ready"
}

is_ready() { call GET "$1" /readyz | grep -q 'HTTP/1.1 200'; }

# Whether the entry instance with this admin address knows COUNT engines.
knows_engines() {
  [ "$(call GET "$1" /dump | grep -o '"pace"' | wc -l)" -eq "$2" ]
}
