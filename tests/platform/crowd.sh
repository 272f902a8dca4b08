#!/usr/bin/env bash
# Tests that an entry VM outlives clients that do not behave: crowd.sh KIND, where
# KIND is one of crowd_client's, or "connections" for more clients than the process has
# connections for. Most of them send requests of legal size that stop just short of
# their end, and stay. If it is wrong, the process needs more memory or descriptors than
# its VM has and is killed, or other callers get no answer. Checks nothing that depends
# on the machine's speed.
set -euo pipefail
kind=$1
# The sockets of a test that has just ended may still be in use, so that each kind
# has addresses of its own.
kinds=(bodies pieces chunks small-chunks heads pipelined unread complete connections silent)
for number in "${!kinds[@]}"; do
  [ "${kinds[$number]}" = "$kind" ] && base=127.$((90 + number))
done
clients=120
body_bytes=$((1024 * 1024))
max_body_bytes=$body_bytes
# The memory of the VM, and the bound on what the process may hold at its peak.
memory_mb=64
# The sockets of one crowd, 50 connections to each of four backend servers, and 50
# others.
max_descriptors=$((clients + 250))
case $kind in
  heads | connections) client_bytes=16000 ;;
  *) client_bytes=$body_bytes ;;
esac
case $kind in
  unread) path=/act/large ;;
  # A fan-out to servers that do not answer, so that the bodies stay in progress.
  complete | silent) path=/x/silent ;;
  *) path=/act/crowd ;;
esac
# The crowd alone would take all connections.
[ "$kind" = connections ] && export MARIGOLD_CONNECTIONS=100
# All but 300 are for callers and backend servers, half for each.
[ "$kind" = silent ] && export MARIGOLD_OPEN_FILES=600
. "$(dirname "$0")/system.sh"
export MARIGOLD_MEMORY_MB=$memory_mb

# Writes the highest number of open descriptors so far to a file.
sample_descriptors() {
  local highest=0 count
  while true; do
    count=$(find "/proc/${pids[e1]}/fd" -mindepth 1 2>/dev/null | wc -l)
    if [ "$count" -gt "$highest" ]; then
      highest=$count
      echo "$highest" >"$work/descriptors"
    fi
    sleep 0.05
  done
}
is_alive() { kill -0 "${pids[e1]}" 2>/dev/null; }
read_peak_kb() { awk '/^VmHWM/ { print $2 }' "/proc/${pids[e1]}/status"; }
# Waits until the process has taken what the crowd has sent: its peak no longer grows.
peak_is_steady() {
  local before
  before=$(read_peak_kb)
  sleep 2
  [ "$before" = "$(read_peak_kb)" ]
}
check_process() {
  is_alive || fail "$1: expected that the process runs, actual: it has ended"
  local peak_kb descriptors
  peak_kb=$(read_peak_kb)
  descriptors=$(cat "$work/descriptors")
  [ "$peak_kb" -le $((memory_mb * 1024)) ] ||
    fail "$1: expected a peak of at most $((memory_mb * 1024)) kB, actual $peak_kb kB"
  [ "$descriptors" -le $max_descriptors ] ||
    fail "$1: expected at most $max_descriptors descriptors, actual $descriptors"
  ok "$1: peak $peak_kb kB (bound $((memory_mb * 1024))), $descriptors descriptors"
}
start_crowd() {
  "$bin/crowd-client" --target=$net.11:8080 --kind="${kind/connections/heads}" --path=$path \
    --clients=$clients --bytes=$client_bytes >"$work/crowd$1" 2>&1 &
  pids[crowd$1]=$!
  disown
}
crowd_settled() { grep -q settled "$work/crowd$1"; }

start_standin
for i in 1 2 3; do start_control $i true; done
within $ack_ms "a first configuration is accepted" config_accepted 3 1200
start_entry 1
within $recovery_ms "the entry VM is ready" is_ready 1
sample_descriptors &
pids[sampler]=$!
disown
within $ack_ms "descriptors are counted" test -s "$work/descriptors"
for crowd in 1 2; do
  start_crowd $crowd
  within 60000 "crowd $crowd has sent its requests" crowd_settled $crowd
  cat "$work/crowd$crowd"
  within 60000 "the process has taken what crowd $crowd sent" peak_is_steady
  check_process "beside crowd $crowd"
  expect "an ordinary request is answered beside crowd $crowd" 200 "$(send_request 1 "c-$crowd" /act/1)"
  kill_process crowd$crowd
  check_process "after crowd $crowd"
  expect "an ordinary request is answered after crowd $crowd" 200 "$(send_request 1 "a-$crowd" /act/1)"
done
head -c $body_bytes /dev/zero >"$work/upload"
expect "a request of legal size is answered" 200 \
  "$(send_request 1 "l-1" /act/1 --data-binary @"$work/upload")"
check_process "at the end"
echo "crowd $kind: all checks passed"
