#!/usr/bin/env bash
# Functions for tests that run the programs of the users' platform on loopback
# addresses, with a stand-in for its list and its backend servers. Sourced by
# tests/process/platform_*.sh, which set `base`, the first two numbers of the
# addresses.
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
bin=${bin:-build/release}
work=$(mktemp -d)
net=$base.0
port=7100
operators=$net.1:7180
seeds=$net.1:7180,$net.2:7180,$net.3:7180
list=$base.2.1:7300
# The time after a signal until the platform kills an entry VM.
stop_bound_s=${stop_bound_s:-6}
# The number of servers of each service.
replicas=${replicas:-2}
# The data centres of the servers, to which the replicas belong in turn.
server_data_centres=${server_data_centres:-dc1}
# The requests per second that a cold server of s1 can handle, or 0 for no limit.
cold_per_s=${cold_per_s:-0}
# The users require that a configuration is acknowledged within `ack_ms` and that
# all VMs recover within `recovery_ms`.
ack_ms=5000
recovery_ms=12000
# The limit of a caller's body in the configurations.
max_body_bytes=${max_body_bytes:-262144}
# The customers in the configurations, as a JSON array or null.
tenants=${tenants:-null}
# Whether the route whose path names the version needs no key.
newest_is_public=${newest_is_public:-false}
declare -A pids

cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

fail() {
  echo "FAILED: $*"
  tail -n 8 "$work"/*.log
  exit 1
}
ok() { echo "ok: $1"; }
expect() { [ "$2" = "$3" ] || fail "$1: expected $2, actual $3"; ok "$1"; }

# data_centre_of PROCESS: the data centre in which a process runs.
if ! declare -F data_centre_of >/dev/null; then
  data_centre_of() { echo dc1; }
fi
start_control() {
  "$bin/marigold-platform-control" --vm="c$1" --data-centre="$(data_centre_of "c$1")" \
    --data-folder="$work/c$1" --operators=$net.$1:7180 --seeds=$seeds \
    --internal-port=$port --server-list=$list --first-start="$2" \
    --losses=1 >>"$work/c$1.log" 2>&1 &
  pids[c$1]=$!
  disown
}
# The window of the retry budget is short, because few retries are allowed in the
# first window after a start.
start_entry() {
  "$bin/marigold-platform-entry" --vm="e$1" --data-centre="$(data_centre_of "e$1")" \
    --listen=$net.1$1:8080 --admin=$net.1$1:8081 --seeds=$seeds \
    --internal-port=$port --server-list=$list --stop-bound-s=$stop_bound_s \
    --retry-window-s=0.1 \
    --fan-out="${2:-automatic}" >>"$work/e$1.log" 2>&1 &
  pids[e$1]=$!
  disown
}
kill_process() {
  kill -KILL "${pids[$1]}"
  while kill -0 "${pids[$1]}" 2>/dev/null; do sleep 0.01; done
}
now_ms() { date +%s%3N; }
within() {
  local bound=$1 what=$2 began
  shift 2
  began=$(now_ms)
  until "$@" >/dev/null 2>&1; do
    [ $(($(now_ms) - began)) -le "$bound" ] || fail "expected within $bound ms: $what"
    sleep 0.02
  done
  ok "$what after $(($(now_ms) - began)) ms (bound $bound ms)"
}
is_ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "$net.1$1:8081/v1/ready")" = 200 ]; }

# follows_group CONTROL: true if the control VM is in contact with a quorum.
follows_group() { curl -s -m 1 "$net.$1:7180/metrics" | grep -q '^marigold_control_has_quorum 1'; }
# entries_behind COUNT: lists those of the first entry VMs that do not serve the newest
# route.
entries_behind() {
  local entry
  for ((entry = 1; entry <= $1; entry++)); do
    [ "$(send_request $entry "n-$version-$entry" /v$version/1)" = 200 ] || echo "e$entry"
  done
}

# config VERSION TIMEOUT: routes over two shards, one service, one action, and one
# whose path names the version.
config() {
  local services='["s1","s2"]'
  cat <<JSON
{"Version":$1,"Routes":[
 {"Name":"all","Host":"a.example","PathPrefix":"/x/","RouteType":"idempotent",
  "TimeoutMs":$2,"TargetLatencyMs":200,"Priority":1,"Gather":$services,
  "Attempts":2,"TopK":3,"MinCoverage":0.5},
 {"Name":"act","Host":"a.example","PathPrefix":"/act/",
  "RouteType":"non_idempotent","TimeoutMs":$2,"TargetLatencyMs":200,"Backend":"s1","Attempts":2},
 {"Name":"newest","Host":"a.example","PathPrefix":"/v$1/","RouteType":"idempotent",
   "TimeoutMs":$2,"TargetLatencyMs":200,"Backend":"s1","Attempts":2,
   "Public":$newest_is_public}],
  "Tenants":$tenants,
  "Backends":[{"Name":"s1","HealthPath":"/health","MaxConnections":50,
               "ColdPerS":$cold_per_s},
  {"Name":"s2","HealthPath":"/health","MaxConnections":50}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":$max_body_bytes,
  "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
JSON
}
# put_config ADDRESS VERSION TIMEOUT: sends a configuration and prints the HTTP status.
put_config() {
  config "$2" "$3" | curl -s -L -m 3 -o "$work/put" -w '%{http_code}' \
    -H 'Content-Type: application/json' --data-binary @- "$1/v1/Config.Replace"
}
config_accepted() {
  for i in 1 2 3; do
    [ "$(put_config $net.$i:7180 "$1" "$2")" = 200 ] && return 0
  done
  return 1
}
# put_next_config CONTROL...: sends the next configuration to these control VMs
# until one accepts it.
version=3
put_next_config() {
  version=$((version + 1))
  within $ack_ms "configuration $version is accepted" accepts_config "$@"
}
accepts_config() {
  local control
  for control in "$@"; do
    [ "$(put_config $net.$control:7180 $version 1200)" = 200 ] && return 0
  done
  return 1
}
read_version() {
  for i in 1 2 3; do
    curl -s -L -m 2 "$net.$i:7180/v1/Config.Read" | grep -o '"Version":[0-9]*' && return 0
  done
  return 1
}
# send_request ENTRY ID PATH [curl flags]: sends a request and prints the HTTP status. The
# header and the body of the answer are written to files.
send_request() {
  local entry=$1 id=$2 path=$3
  shift 3
  curl -s -m 5 -D "$work/header" -o "$work/body" -w '%{http_code}' \
    -H 'Host: a.example' -H "X-Request-Id: $id" -H 'X-Deadline-Ms: 1500' \
    "$@" "http://$net.1$entry:8080$path"
}
run_count() { grep -c "^$1 " "$work/record" || true; }

start_standin() {
  "$bin/platform-standin" --list=$list --services=s1,s2 --replicas=$replicas \
    --data-centre="$server_data_centres" --network=$base.1 --record="$work/record" \
    --fields-record="${fields_record:-/dev/null}" >"$work/standin.log" 2>&1 &
  pids[standin]=$!
  disown
}
