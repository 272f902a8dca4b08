#!/usr/bin/env bash
# Tests customers and API keys with the programs of the users' platform on loopback
# addresses: which requests are refused, what backend servers see, that a removed key
# stays refused after restarts, and that no key is shown anywhere.
set -euo pipefail
base=127.58
newest_is_public=true
. "$(dirname "$0")/../platform/system.sh"
fields_record=$work/fields
# All entry VMs have to apply a configuration within this time.
in_force_ms=4000

first_key=first-key-5f0c1d
second_key=second-key-9b3e77
south_key=south-key-2c48aa
wrong_key=wrong-key-77d1e0

# put VERSION CUSTOMERS: puts a configuration with these customers in force.
put() {
  tenants=$2
  within $ack_ms "configuration $1 is accepted" config_accepted "$1" 900
}
# status_with_key ENTRY KEY [ID [PATH [curl flags]]]: sends a request with a key.
status_with_key() {
  send_request "$1" "${3:-k-$RANDOM$RANDOM}" "${4:-/act/1}" -H "X-Api-Key: $2" "${@:5}"
}
refuses() { [ "$(status_with_key "$1" "$2")" = 401 ]; }
# sends_of ID: the header fields of all sends of a request.
sends_of() { grep -i " X-Request-Id: $1\( \|\$\)" "$fields_record" || true; }
# expect_sender ID CUSTOMER MINIMUM: each of at least MINIMUM sends of a request names the
# customer as its sender and has no key.
expect_sender() {
  local sends count
  sends=$(sends_of "$1")
  count=$(grep -c . <<<"$sends" || true)
  [ "$count" -ge "$3" ] || fail "expected $3 sends of $1, actual $count"
  expect "each of the $count sends of $1 names customer $2" "$count" \
    "$(grep -c " X-Tenant: $2\( \|\$\)" <<<"$sends" || true)"
  expect "each send of $1 has one customer field" "$count" \
    "$(grep -oi ' X-Tenant:' <<<"$sends" | grep -c .)"
  expect "no send of $1 has a key" 0 "$(grep -ci 'X-Api-Key' <<<"$sends" || true)"
}
expect_no_sender() {
  expect "the send of $1 names no customer and has no key" 1 \
    "$(sends_of "$1" | grep -civ 'X-Tenant\|X-Api-Key' || true)"
}

start_standin
for i in 1 2 3; do start_control $i true; done
start_entry 1
start_entry 2 groups
within $ack_ms "a configuration without customers is accepted" config_accepted 3 900
for i in 1 2; do within $recovery_ms "entry VM $i is ready" is_ready $i; done

# Without customers, a backend server may use fields of these names for itself.
expect "no key is needed without customers" 200 "$(send_request 1 plain-1 /act/1)"
expect "a request with both fields succeeds" 200 \
  "$(status_with_key 1 own-key plain-2 /act/1 -H 'X-Tenant: own')"
expect "both fields are passed on without customers" 1 \
  "$(sends_of plain-2 | grep 'X-Api-Key: own-key' | grep -c 'X-Tenant: own')"

put 4 '[{"Name":"north","ApiKeys":["'$first_key'","'$second_key'"],"Priority":0,"RatePerS":50,"Burst":10},
        {"Name":"south","ApiKeys":["'$south_key'"]}]'
# No key is sent before, because a configuration without customers passes it on.
has_customers() { curl -s "$net.1$1:8081/state" | grep -q '"customers":2'; }
for i in 1 2; do
  within $in_force_ms "entry VM $i knows the customers" has_customers $i
  expect "entry VM $i accepts the first key" 200 "$(status_with_key $i $first_key)"
done
expect "the second key is accepted" 200 "$(status_with_key 1 $second_key)"
expect "a request without a key is refused" 401 "$(send_request 1 k-none /act/1)"
expect "a request with an unknown key is refused" 401 "$(status_with_key 1 $wrong_key k-wrong)"
expect "a request with two keys is refused" 401 \
  "$(status_with_key 1 $first_key k-two /act/1 -H "X-Api-Key: $first_key")"
expect "an unknown route is not found without a key" 404 "$(send_request 1 k-route /none/)"
for id in k-none k-wrong k-two; do
  expect "$id was not sent" "" "$(sends_of $id)"
  expect "the log explains the refusal of $id" 1 \
    "$(grep -c "event=request_refused request=$id status=401 reason=unknown_key" "$work/e1.log")"
done

# A backend server trusts X-Tenant. A caller must not be able to set it.
expect "a request with another customer's name succeeds" 200 \
  "$(status_with_key 1 $first_key k-spoof /act/1 -H 'X-Tenant: south' -H 'x-tenant: south')"
expect_sender k-spoof north 1
expect "a public route needs no key" 200 "$(send_request 1 p-1 /v4/1 -H 'X-Tenant: south')"
expect_no_sender p-1
expect "a public route ignores an unknown key" 200 "$(status_with_key 1 $wrong_key p-2 /v4/1)"
expect_no_sender p-2
expect "a public route takes a known key" 200 "$(status_with_key 1 $south_key p-3 /v4/1)"
expect_sender p-3 south 1

# Each kind of send is encoded elsewhere.
expect "a fan-out succeeds" 200 "$(status_with_key 1 $first_key f-1 /x/1)"
expect_sender f-1 north 2
knows_an_aggregator() { grep -q 'event=aggregators_changed.* known=1' "$work/e2.log"; }
within 3000 "entry VM 2 knows entry VM 1" knows_an_aggregator
expect "a fan-out through another entry VM succeeds" 200 "$(status_with_key 2 $first_key f-2 /x/1)"
expect_sender f-2 north 2
expect "entry VM 1 queried both shards for entry VM 2" 2 \
  "$(curl -s "$net.11:8081/metrics" | sed -n 's/^marigold_group_queries_total{event="served"} //p')"
expect "all servers refuse an action" 503 "$(status_with_key 1 $first_key r-1 /act/full -X POST -d x)"
expect_sender r-1 north 2
expect "no server answers a fan-out" 504 "$(status_with_key 1 $first_key h-1 /x/silent)"
expect_sender h-1 north 3

# An invalid configuration must not change anything, and its error must not show a key.
expect_invalid() {
  tenants=$3
  expect "refused: $1" 400 "$(put_config $operators 9 900)"
  grep -q "$2" "$work/put" || fail "the error does not name $2: $(cat "$work/put")"
  cat "$work/put" >>"$work/answers"
}
expect_invalid "a key of two customers" 'Tenants\[1\].ApiKeys' \
  '[{"Name":"a","ApiKeys":["'$first_key'"]},{"Name":"b","ApiKeys":["'$first_key'"]}]'
expect_invalid "a repeated key" 'Tenants\[0\].ApiKeys' \
  '[{"Name":"a","ApiKeys":["'$first_key'","'$first_key'"]}]'
expect_invalid "a key that is no list" 'Tenants\[0\].ApiKeys' '[{"Name":"a","ApiKeys":"'$first_key'"}]'
expect_invalid "a name twice" 'Tenants\[1\].Name' '[{"Name":"a"},{"Name":"a"}]'
expect_invalid "a negative rate" 'Tenants\[0\].RatePerS' \
  '[{"Name":"a","ApiKeys":["'$first_key'"],"RatePerS":-1}]'
expect "the configuration is unchanged" '"Version":4' "$(read_version)"

# An operator sees the customers, but not the keys.
"$bin/marigoldctl" --controls=$net.1:7100,$net.2:7100,$net.3:7100 customers >"$work/customers"
expect "marigoldctl shows customer north" 1 \
  "$(grep -cE '^north +2 +0 +50 +10$' "$work/customers")"
expect "marigoldctl shows customer south" 1 \
  "$(grep -cE '^south +1 +of route +no limit +-$' "$work/customers")"

# A removed key must not be accepted again by any VM, whatever happens to it.
kill -STOP "${pids[e2]}"
put 5 '[{"Name":"north","ApiKeys":["'$second_key'"]},{"Name":"south","ApiKeys":["'$south_key'"]}]'
within $in_force_ms "entry VM 1 refuses the removed key" refuses 1 $first_key
kill -CONT "${pids[e2]}"
within $in_force_ms "entry VM 2, which was frozen, refuses the removed key" refuses 2 $first_key
put 4 '[{"Name":"north","ApiKeys":["'$first_key'"]}]'
expect_only_second() {
  expect "entry VM $1 refuses the removed key $2" 401 "$(status_with_key "$1" $first_key)"
  expect "entry VM $1 accepts the other key $2" 200 "$(status_with_key "$1" $second_key)"
}
for i in 1 2; do expect_only_second $i "after an older configuration"; done
kill_process e2
start_entry 2
within $recovery_ms "a restarted entry VM is ready" is_ready 2
expect_only_second 2 "after its restart"
for i in 1 2 3; do
  kill_process c$i
  start_control $i false
  within $recovery_ms "control VM $i follows its group after a restart" follows_group $i
done
for i in 1 2; do expect_only_second $i "after the restart of each control VM"; done
kill_process c1
rm -r "$work/c1"
start_control 1 false
# The group tolerates one loss; the next one has to wait until the new disk votes.
all_vote() {
  "$bin/marigoldctl" --controls=$net.1:7100,$net.2:7100,$net.3:7100 status >"$work/status"
  [ "$(grep -cE '^c[123] .* voter +(yes|no) +ok' "$work/status")" = 3 ]
}
within $recovery_ms "control VM 1 votes with a new disk" all_vote
for i in 1 2; do expect_only_second $i "after the loss of a disk"; done
for i in 1 2 3; do kill_process c$i; done
kill_process e1
for i in 1 2 3; do start_control $i false; done
start_entry 1
within $recovery_ms "entry VM 1 is ready after the restart of all control VMs" is_ready 1
for i in 1 2; do expect_only_second $i "after the restart of all control VMs"; done
expect "version 5 is still in force" '"Version":5' "$(read_version)"

# The removal of a key must not wait for a leader that is frozen.
leader=$(for i in 1 2 3; do curl -s "$net.$i:7180/state" | grep -q '"leads":true' && echo $i; done | head -1 || true)
kill -STOP "${pids[c$leader]}"
put 6 '[{"Name":"north","ApiKeys":["'$second_key'"]}]'
for i in 1 2; do
  within $in_force_ms "entry VM $i refuses a key removed while the leader is frozen" refuses $i $south_key
done
kill -CONT "${pids[c$leader]}"
within $recovery_ms "the former leader follows its group" follows_group "$leader"
for i in 1 2; do
  expect "entry VM $i refuses the key after the leader's return" 401 "$(status_with_key $i $south_key)"
  expect_only_second $i "after the leader's return"
done

# Keys are secrets, also those that are not valid.
for i in 1 2; do
  curl -s "$net.1$i:8081/state" "$net.1$i:8081/metrics" >>"$work/answers"
done
for i in 1 2 3; do
  curl -s "$net.$i:7180/state" "$net.$i:7180/metrics" >>"$work/answers"
done
grep -q 'cause="unknown_key"' "$work/answers" || fail "no metric counts the refusals"
"$bin/marigoldctl" --controls=$net.1:7100,$net.2:7100,$net.3:7100 dump >>"$work/customers"
for key in $first_key $second_key $south_key $wrong_key; do
  leaks=$(grep -lF -- "$key" "$work"/*.log "$work/answers" "$work/customers" "$fields_record" || true)
  expect "no log, state, metric, error or send has the key ${key%%-*}" "" "$leaks"
done
for i in 1 2 3; do
  ! grep -q invariant "$work/c$i.log" || fail "an invariant was violated on c$i"
done
echo "platform customers: all checks passed"
