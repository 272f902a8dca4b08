#!/usr/bin/env bash
# Tests the evacuation of a data centre with the programs of the users' platform. If
# it is wrong, requests reach servers that are about to lose their power, an order is
# lost with the control VMs, or a data centre stays empty after the end.
set -euo pipefail
base=127.62
replicas=2
server_data_centres=dc1,dc2
# Within this time after its acknowledgement, an order is in force on all entry VMs.
apply_ms=5000
ack_limit_ms=1000
data_centre_of() { echo "dc$(((${1:1} - 1) % 2 + 1))"; }
. "$(dirname "$0")/../platform/system.sh"

# order CALL NAME [ADDRESS] [curl flags]: sends a call to a control VM and prints
# the status.
order() {
  local call=$1 name=$2 address=${3:-$operators}
  shift $(($# < 3 ? $# : 3))
  curl -s -m 3 -o "$work/order" -D "$work/order-header" -w '%{http_code}' \
    -X POST "$@" "http://$address/v1/Evacuate.$call/$name"
}
accepts_order() { [ "$(order "$1" "$2" $operators -L)" = 200 ]; }
# evacuated_on ENTRY: the evacuated data centres in force.
evacuated_on() {
  curl -s -m 1 "$net.1$1:8081/state" | sed -n 's/.*"evacuated":\[\([^]]*\)\].*/\1/p'
}
in_force() { [ "$(evacuated_on 1)" = "$1" ] && [ "$(evacuated_on 2)" = "$1" ]; }
# Replica 0 of each service is in dc1, replica 1 in dc2.
runs_in() { grep -cE " i-s[12]-$(($1 - 1))\$" "$work/record" || true; }
answers=""
last_id=0
# send_some COUNT: sends actions and queries through both entry VMs.
send_some() {
  local i entry
  for ((i = 0; i < $1; i++)); do
    for entry in 1 2; do
      last_id=$((last_id + 1))
      answers+="$(send_request $entry "v-$last_id" /act/1 -X POST -d x) "
      answers+="$(send_request $entry "v-$last_id-q" /x/1) "
    done
  done
}
other_than_200() { tr ' ' '\n' <<<"$answers" | grep -vE '^(200)?$' | sort | uniq -c || true; }
is_used() {
  local before
  before=$(runs_in "$1")
  send_some 2
  [ "$(runs_in "$1")" -gt "$before" ]
}
# expect_no_runs WHAT: no request reaches dc1, and all are served.
expect_no_runs() {
  local before
  before=$(runs_in 1)
  answers=""
  send_some 25
  expect "$1" "$before" "$(runs_in 1)"
  expect "all requests are served elsewhere" "" "$(other_than_200)"
}

start_standin
for i in 1 2 3; do start_control $i true; done
start_entry 1
start_entry 2 groups
within $ack_ms "a configuration is accepted" config_accepted 3 1200
for i in 1 2; do within $recovery_ms "entry VM $i is ready" is_ready $i; done
for i in 1 2; do within 3000 "servers in dc$i are used" is_used $i; done

# Until the leader has read the list of servers, it answers 503.
refuses_unknown() { [ "$(order Start dc9 $operators -L)" = 400 ]; }
within 3000 "an unknown data centre is refused" refuses_unknown
expect "the error names it" 1 "$(grep -c dc9 "$work/order")"
expect "a name with percent-encoding is refused" 400 "$(order Start dc%31)"
expect "an empty name is refused" 400 "$(order Start '')"
expect "a GET changes nothing" 404 \
  "$(curl -s -m 3 -o /dev/null -w '%{http_code}' $operators/v1/Evacuate.Start/dc1)"
expect "the finish of no evacuation is acknowledged" 200 "$(order Finish dc1 $operators -L)"
leader=$(for i in 1 2 3; do curl -s "$net.$i:7180/state" | grep -q '"leads":true' && echo $i; done | head -1 || true)
follower=$((leader % 3 + 1))
expect "a follower redirects to the leader" 307 "$(order Start dc1 $net.$follower:7180)"
expect "the redirect names the leader" 1 \
  "$(grep -ci "^Location: http://$net.$leader:7180/v1/Evacuate.Start/dc1" "$work/order-header")"
expect "none of these calls had an effect" "" "$(evacuated_on 1)"

within $ack_limit_ms "the start is acknowledged" accepts_order Start dc1
within $apply_ms "the evacuation is in force" in_force '"dc1"'
expect_no_runs "no request reaches the evacuated data centre"
expect "a repeated start is acknowledged" 200 "$(order Start dc1 $operators -L)"
expect "the entry VM in the data centre stays in rotation" 200 \
  "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "$net.11:8081/v1/ready")"
expect "marigoldctl shows it" "evacuated data centres: dc1" \
  "$("$bin/marigoldctl" status --controls=$net.$leader:$port | grep evacuated)"

# With every server evacuated there is nobody to wait for.
within $ack_limit_ms "the start for dc2 is acknowledged" accepts_order Start dc2
within $apply_ms "both evacuations are in force" in_force '"dc1","dc2"'
began=$(now_ms)
expect "a request to evacuated servers is refused" 503 "$(send_request 1 all-1 /x/1)"
[ $(($(now_ms) - began)) -le 500 ] || fail "expected a refusal within 500 ms"
expect "the refusal has a Retry-After header" 1 "$(grep -ci '^Retry-After:' "$work/header")"
for i in 1 2; do is_ready $i || fail "expected that entry VM $i stays in rotation"; done
within $ack_limit_ms "the finish for dc2 is acknowledged" accepts_order Finish dc2
within $apply_ms "only dc1 is evacuated" in_force '"dc1"'

# A loss of power of all control VMs, and a restart of an entry VM.
for i in 1 2 3; do kill_process c$i; done
kill_process e1
for i in 1 2 3; do start_control $i false; done
start_entry 1
within $recovery_ms "the configuration is read after the restart" read_version
within $recovery_ms "entry VM 1 is ready again" is_ready 1
expect "the restarted entry VM knows the evacuation once it is ready" '"dc1"' "$(evacuated_on 1)"
expect_no_runs "no request reaches the evacuated data centre after the restart"

within $ack_ms "the finish is acknowledged" accepts_order Finish dc1
within $apply_ms "the evacuation has ended" in_force ""
within 3000 "servers in dc1 are used again" is_used 1
for i in 1 2 3; do
  ! grep -q invariant "$work/c$i.log" || fail "an invariant was violated on c$i"
done
for event in evacuation_accepted evacuation_repeated evacuation_refused evacuation_committed; do
  grep -qh "event=$event " "$work"/c*.log || fail "expected a log line $event"
done
grep -q "event=evacuation_in_force " "$work/e1.log" || fail "expected a log line of the entry VM"
echo "platform evacuation: all checks passed"
