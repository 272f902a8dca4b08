#!/usr/bin/env bash
# Tests what marigold-platform-entry does when a backend server says that it is
# about to stop, or asks for a pause, while the platform's list still shows it as
# ready. If it is wrong, requests reach a server that is stopping and are lost, or
# keep an overloaded server busy with refusals.
set -euo pipefail
base=127.55
replicas=3
. "$(dirname "$0")/../platform/system.sh"

start_standin
for i in 1 2 3; do start_control $i true; done
start_entry 1
start_entry 2 groups
within $ack_ms "a configuration is accepted" config_accepted 3 1200
for i in 1 2; do within $recovery_ms "entry VM $i is ready" is_ready $i; done

# send_until ENTRY PATH COMMAND...: sends actions and queries through an entry VM
# until the command succeeds.
last_id=0
send_until() {
  local entry=$1 path=$2 began
  shift 2
  began=$(now_ms)
  until "$@"; do
    [ $(($(now_ms) - began)) -le 5000 ] || fail "expected within 5 s: $*"
    last_id=$((last_id + 1))
    send_request "$entry" "n-$last_id" "/act$path" -X POST -d x >/dev/null
    send_request "$entry" "n-$last_id-q" "/x$path" >/dev/null
  done
}
# send_for MS: sends actions and queries through both entry VMs. Collects the
# statuses of the answers.
send_for() {
  local began entry
  began=$(now_ms)
  while [ $(($(now_ms) - began)) -le "$1" ]; do
    for entry in 1 2; do
      last_id=$((last_id + 1))
      answers+="$(send_request $entry "n-$last_id" /act/1 -X POST -d x) "
      answers+="$(send_request $entry "n-$last_id-q" /x/1) "
    done
  done
}
other_than_200() { tr ' ' '\n' <<<"$answers" | grep -vE '^(200)?$' | sort | uniq -c || true; }
has_logged() { grep -q "event=$2 server=$3 " "$work/e$1.log"; }
runs_at() { grep -c " $1\$" "$work/record" || true; }

# The users allow requests for DrainMs (3 s or more) after a server has said that
# it is leaving; an entry VM that knows sends none at once.
for i in 1 2; do
  send_until $i /leave/i-s1-0 has_logged $i server_leaving i-s1-0
done
before=$(runs_at i-s1-0)
answers=""
send_for 1500
expect "a server that is leaving gets no more requests" "$before" "$(runs_at i-s1-0)"
expect "all requests are served by the others" "" "$(other_than_200)"

# The users allow two requests of an entry VM in the part of a pause after the
# first 0.5 s.
for i in 1 2; do
  send_until $i /pause/i-s1-1 has_logged $i server_paused i-s1-1
done
refused=$(grep -c '^paused ' "$work/record")
answers=""
send_for 1000
expect "a server that asked for a pause gets no requests" "$refused" "$(grep -c '^paused ' "$work/record")"
expect "all requests are served by the others" "" "$(other_than_200)"
before=$(runs_at i-s1-1)
is_used_again() { [ "$(runs_at i-s1-1)" -gt "$before" ]; }
send_until 1 /1 is_used_again
ok "the server is used again after the pause"
echo "platform notices: all checks passed"
