#!/usr/bin/env bash
# Tests the limit for cold backend servers with the programs of the users' platform.
# If it is wrong, servers that have just started crash, or stay unused when they are
# warm.
set -euo pipefail
base=127.63
cold_per_s=2
# The users' bound for one second: 1.5 x cold_per_s + 5.
max_per_s=8
. "$(dirname "$0")/../platform/system.sh"

start_standin
for i in 1 2 3; do start_control $i true; done
start_entry 1
start_entry 2 groups
within $ack_ms "a configuration is accepted" config_accepted 3 1200
for i in 1 2; do within $recovery_ms "entry VM $i is ready" is_ready $i; done

has_logged() { grep -q "event=$2 server=$3 " "$work/e$1.log"; }
both_have_logged() { has_logged 1 "$@" && has_logged 2 "$@"; }
runs_at() { grep -c " $1\$" "$work/record" || true; }
last_id=0
# send_for MS: sends actions to s1 through both entry VMs and collects the statuses.
send_for() {
  local began entry
  began=$(now_ms)
  answers=""
  while [ $(($(now_ms) - began)) -le "$1" ]; do
    for entry in 1 2; do
      last_id=$((last_id + 1))
      answers+="$(send_request $entry "k-$last_id" /act/1 -X POST -d x) "
    done
  done
}
count_of() { tr ' ' '\n' <<<"$answers" | grep -c "^$1\$" || true; }

expect "a request marks a server as cold" 200 "$(send_request 1 m-1 /act/cold/i-s1-0 -X POST -d x)"
within 4000 "both entry VMs hold it back" both_have_logged server_held_back i-s1-0
before=$(runs_at i-s1-0)
send_for 1000
expect "a cold server gets nothing while another one is warm" "$before" "$(runs_at i-s1-0)"
expect "all requests are served" "$(wc -w <<<"$answers")" "$(count_of 200)"

# Without a warm server, the designated entry VMs send what the servers can handle.
expect "a request marks the other server" 200 "$(send_request 1 m-2 /act/cold/i-s1-1 -X POST -d x)"
within 4000 "both entry VMs hold it back" both_have_logged server_held_back i-s1-1
before=$(runs_at i-s1-0)
send_for 3000
sent=$(($(runs_at i-s1-0) - before))
[ "$sent" -gt 0 ] && [ "$sent" -le $((max_per_s * 3)) ] ||
  fail "expected 1 to $((max_per_s * 3)) requests in 3 s, actual $sent"
ok "a cold server gets $sent requests in 3 s"
[ "$(count_of 503)" -gt 0 ] || fail "expected refusals, actual $answers"
expect "the rest is refused" "$(wc -w <<<"$answers")" "$(($(count_of 200) + $(count_of 503)))"
for i in 1 2; do is_ready $i || fail "expected that entry VM $i stays in rotation"; done
metric() { curl -s -m 1 "$net.1$1:8081/metrics" | sed -n "s/^$2 //p"; }
expect "the metrics show the held-back servers" 2 "$(metric 1 marigold_cold_servers)"
expect "the state shows them" 1 \
  "$(curl -s -m 1 "$net.11:8081/state" | grep -c '"held_back_servers":2')"

marks_warm() { [ "$(send_request 1 "w-$(now_ms)" /act/warm/i-s1-0/warm/i-s1-1 -X POST -d x)" = 200 ]; }
within 4000 "a request marks both servers as warm" marks_warm
within 4000 "entry VMs release one server" both_have_logged server_released i-s1-0
within 4000 "entry VMs release the other server" both_have_logged server_released i-s1-1
send_for 1000
expect "all requests are served again" "$(wc -w <<<"$answers")" "$(count_of 200)"
echo "platform cold servers: all checks passed"
