#!/usr/bin/env bash
# Tests how marigold-platform-entry refuses requests when it has no capacity, if the
# configuration has customers. If it is wrong, callers are held until their deadline,
# are told that a request may have run that did not, or lose waiting requests when the
# process stops; and without customers requests are refused that were served before.
set -euo pipefail
base=127.64
. "$(dirname "$0")/../platform/system.sh"

# start_narrow ENTRY WAIT_MS: starts an entry VM that runs one request at a time.
start_narrow() {
  "$bin/marigold-platform-entry" --vm="e$1" --data-centre=dc1 \
    --listen=$net.1$1:8080 --admin=$net.1$1:8081 --seeds=$seeds \
    --internal-port=$port --server-list=$list --stop-bound-s=$stop_bound_s \
    --requests-in-progress=1 --admission-wait-ms="$2" >>"$work/e$1.log" 2>&1 &
  pids[e$1]=$!
  disown
}
put_customers() {
  config "$1" 5000 | sed 's/"Limits":/"Tenants":[{"Name":"a","ApiKeys":["key-a"]}],&/' |
    curl -s -L -m 3 -o "$work/put" -w '%{http_code}' -H 'Content-Type: application/json' \
      --data-binary @- "$net.1:7180/v1/Config.Replace"
}
customers_accepted() { [ "$(put_customers 4)" = 200 ]; }
state_has() { curl -s -m 1 "$net.1$1:8081/state" | grep -q "$2"; }
metric_of() { curl -s -m 1 "$net.1$1:8081/metrics" | grep "^$2 " | cut -d ' ' -f 2; }
# set_curl ENTRY ID PATH: sets `command` to one that sends a request of the customer
# and prints the status.
set_curl() {
  command=(curl -s -m 8 -D "$work/header-$2" -o /dev/null -w '%{http_code}'
    -H 'Host: a.example' -H "X-Request-Id: $2" -H 'X-Api-Key: key-a'
    -H 'X-Deadline-Ms: 5000' -X POST -d x "http://$net.1$1:8080$3")
}
send() {
  set_curl "$@"
  "${command[@]}" || true
}
in_background() {
  set_curl "$@"
  "${command[@]}" >"$work/status-$2" &
  requests[$2]=$!
}
declare -A requests
status_of() {
  wait "${requests[$1]}" || true
  cat "$work/status-$1"
}
has_run() { [ "$(run_count "$1")" = 1 ]; }

start_standin
for i in 1 2 3; do start_control $i true; done
start_narrow 1 100
start_narrow 2 5000
within $ack_ms "a configuration is accepted" config_accepted 3 5000
for i in 1 2; do within $recovery_ms "entry VM $i is ready" is_ready $i; done

in_background 1 first /act/silent
within 2000 "a request takes the only place" has_run first
expect "without customers another request is served" 200 "$(send 1 free /act/1)"
kill "${requests[first]}"

within $ack_ms "a configuration with customers is accepted" customers_accepted
for i in 1 2; do
  within $recovery_ms "entry VM $i serves by it" state_has $i '"routes_version":4'
done
in_background 1 holder /act/silent
within 2000 "a request takes the only place" has_run holder
began=$(now_ms)
expect "another one is refused" 503 "$(send 1 refused /act/1)"
[ $(($(now_ms) - began)) -le 1500 ] || fail "expected a refusal long before the deadline"
expect "its answer says when to try again" 1 "$(grep -ci '^retry-after:' "$work/header-refused")"
expect "it did not run" 0 "$(run_count refused)"
expect "it is counted" 1 "$(metric_of 1 'marigold_forward_refusals_total{cause="overloaded"}')"
expect "the state shows one running request" 0 "$(state_has 1 '"admission_running":1'; echo $?)"
kill "${requests[holder]}"
within 2000 "the place is free once its caller has left" state_has 1 '"admission_running":0'
expect "the next request is served" 200 "$(send 1 next /act/1)"

in_background 2 occupant /act/silent
within 2000 "a request takes the only place of entry VM 2" has_run occupant
in_background 2 left /act/1
within 2000 "another one waits" state_has 2 '"admission_waiting":1'
kill "${requests[left]}"
within 2000 "its wait ends when its caller leaves" state_has 2 '"admission_waiting":0'
in_background 2 stopped /act/1
within 2000 "a further one waits" state_has 2 '"admission_waiting":1'
began=$(now_ms)
kill -TERM "${pids[e2]}"
expect "it is refused when the process stops" 503 "$(status_of stopped)"
[ $(($(now_ms) - began)) -le 2000 ] || fail "expected a refusal at the begin of the stop"
expect "neither has run" "0 0" "$(run_count left) $(run_count stopped)"
echo "platform fair shares: all checks passed"
