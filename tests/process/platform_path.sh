#!/usr/bin/env bash
# Tests the programs of the users' platform on loopback addresses, with a stand-in
# for its list and its backend servers. Covers configurations, queries over all
# shards, actions, killed control VMs, a graceful stop, and log lines that explain
# failed requests.
set -euo pipefail
base=127.52
. "$(dirname "$0")/../platform/system.sh"

start_standin
for i in 1 2 3; do start_control $i true; done
start_entry 1
start_entry 2 groups

within $ack_ms "a first configuration is accepted" config_accepted 3 900
for i in 1 2; do within $recovery_ms "entry VM $i is ready" is_ready $i; done

# An answer must consist of the parts of its own request. If parts were missing or
# mixed up, callers would get wrong results without an error.
expect "a query over all shards succeeds" 200 "$(send_request 1 q-1 /x/1)"
expect "the answer has the stamp of one part of each shard" 2 \
  "$(grep -i '^X-Part-Stamps:' "$work/header" | tr ',' '\n' | grep -c 'i-s')"
expect "no part is missing" 0 \
  "$(grep -i '^X-Missing-Parts:' "$work/header" | tr -dc 0-9)"
expect "the body consists of the greatest records" "$(printf '2%.0s' {1..32})$(printf '1%.0s' {1..16})" \
  "$(cat "$work/body")"

# Entry VM 2 answers through entry VM 1. The answer must be the same as that of one
# VM alone, and must not depend on the other VM.
knows_an_aggregator() { grep -q 'event=aggregators_changed.* known=1' "$work/e2.log"; }
group_queries() {
  curl -s -m 1 "$net.1$1:8081/metrics" |
    sed -n "s/^marigold_group_queries_total{event=\"$2\"} //p"
}
within 3000 "entry VM 2 knows entry VM 1" knows_an_aggregator
expect "a query through another entry VM succeeds" 200 "$(send_request 2 q-g1 /x/1)"
expect "the answer has the stamp of one part of each shard" 2 \
  "$(grep -i '^X-Part-Stamps:' "$work/header" | tr ',' '\n' | grep -c 'i-s')"
expect "the body consists of the greatest records" "$(printf '2%.0s' {1..32})$(printf '1%.0s' {1..16})" \
  "$(cat "$work/body")"
expect "entry VM 1 served the queries for both shards" 2 "$(group_queries 1 served)"
kill_process e1
expect "a query succeeds after the other entry VM was killed" 200 "$(send_request 2 q-g2 /x/1)"
expect "no part is missing" 0 \
  "$(grep -i '^X-Missing-Parts:' "$work/header" | tr -dc 0-9)"
start_entry 1
within $recovery_ms "entry VM 1 is ready again" is_ready 1

# Two requests that arrive together must both be answered, each after the other.
# The second one begins while the first one ends.
send_pipelined() {
  exec 3<>"/dev/tcp/$net.11/8080"
  printf 'GET /x/%s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: p-%s\r\n\r\n' \
    1 1 2 2 3 3 >&3
  timeout 3 grep -a --max-count=3 -o 'HTTP/1.1 [0-9]*' <&3 || true
}
expect "pipelined requests are answered" "$(printf 'HTTP/1.1 200\n%.0s' 1 2 3)" "$(send_pipelined)"

# The answer to a HEAD request has no body; its bytes would be taken for the start of
# the next answer.
head_request() {
  exec 3<>"/dev/tcp/$net.11/8080"
  printf 'HEAD %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: h-1\r\n%s\r\n' "$1" \
    $'Connection: close\r\n' >&3
  timeout 3 cat <&3 | tr -d '\r' | sed '1,/^$/d'
}
expect "the refusal of a HEAD request has no body" "" "$(head_request /none/)"
expect "the answer to a HEAD request has no body" "" "$(head_request /act/1)"

expect "an unknown route is not found" 404 "$(send_request 1 q-2 /none/)"
expect "an action runs" 200 "$(send_request 1 a-1 /act/1 -X POST -d 'x=1')"
expect "the action ran once" 1 "$(run_count a-1)"

# A caller repeats an action that was refused as not run. If it had run, or if an
# action of unknown outcome were sent again, it would run twice.
expect "an action is refused if all servers are full" 503 "$(send_request 1 a-2 /act/full -X POST -d x)"
expect "the refused action did not run" 0 "$(run_count a-2)"
expect "the refusal has a Retry-After header" 1 "$(grep -ci '^Retry-After:' "$work/header")"
# A late copy of a refusal must not pass for the answer to the next send of the
# action, which would then run on a second server.
expect "an action is sent again after all servers refused it" 200 "$(send_request 2 a-4 /act/late-copy -X POST -d x)"
expect "the action ran once in spite of late copies of the refusals" 1 "$(run_count a-4)"
expect "an action without an answer times out" 504 "$(send_request 1 a-3 /act/silent -X POST -d x)"
expect "the action without an answer was sent once" 1 "$(run_count a-3)"

# An invalid configuration must not be applied. An operator's call that repeats an
# older version must be acknowledged and must not undo a newer one.
expect "a truncated configuration is refused" 400 \
  "$(config 9 900 | head -c 200 | curl -s -L -o /dev/null -w '%{http_code}' --data-binary @- $operators/v1/Config.Replace)"
expect "a time limit of 0 is refused" 400 "$(put_config $operators 9 0)"
expect "an older version is acknowledged" 200 "$(put_config $operators 2 700)"
expect "an older version does not replace a newer one" '"Version":3' "$(read_version)"

# An accepted configuration must survive the loss of the leader and of all control
# processes.
leader=$(for i in 1 2 3; do curl -s "$net.$i:7180/state" | grep -q '"leads":true' && echo $i; done | head -1 || true)
kill_process "c$leader"
within $ack_ms "a configuration is accepted after kill -9 of the leader" config_accepted 5 800
start_control "$leader" false
for i in 1 2 3; do kill_process c$i; done
for i in 1 2 3; do start_control $i false; done
within $recovery_ms "the configuration is read after kill -9 of all control VMs" read_version
expect "the accepted version is in force" '"Version":5' "$(read_version)"
expect "queries succeed after the restart" 200 "$(send_request 2 q-3 /x/1)"

# A restarted entry VM must become ready, and must know the routes by then.
# Otherwise the load balancer sends it requests that it cannot route.
kill_process e2
start_entry 2
within $recovery_ms "a restarted entry VM is ready" is_ready 2
expect "the restarted entry VM serves" 200 "$(send_request 2 q-4 /x/1)"

# A graceful stop must not drop requests that are in flight.
send_request 1 q-5 /act/silent -X POST -d x >"$work/status" &
request_pid=$!
sleep 0.2
kill -TERM "${pids[e1]}"
wait $request_pid || true
expect "a request in flight is answered during a graceful stop" 504 "$(cat "$work/status")"
e1_has_exited() { ! kill -0 "${pids[e1]}" 2>/dev/null; }
within 6000 "the process exits" e1_has_exited
start_entry 1
within $recovery_ms "entry VM 1 is ready again" is_ready 1

# An operator must find the cause of a failed request in the log by its id.
expect_log_reason() {
  local line
  line=$(grep "request=$1 " "$work"/e*.log | head -1)
  [ -n "$line" ] || fail "no log line for request $1"
  grep -q "$2" <<<"$line" || fail "the log line for request $1 does not contain $2: $line"
  ok "the log explains $1: $2"
}
expect_log_reason q-2 "reason=no_route"
expect_log_reason a-2 "not_executed"
expect_log_reason a-3 "state=timed_out"
for i in 1 2 3; do
  ! grep -q invariant "$work/c$i.log" || fail "an invariant was violated on c$i"
done
echo "platform path: all checks passed"
