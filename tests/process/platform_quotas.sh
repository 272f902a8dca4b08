#!/usr/bin/env bash
# Tests with the programs of the users' platform that quota states reach all entry VMs
# while some customer has a quota, also after the leader was killed, and that
# none are sent before.
set -euo pipefail
base=127.65
. "$(dirname "$0")/../platform/system.sh"

put_config_with_tenants() {
  tenants='[{"Name":"shop","ApiKeys":["key-1"],"RatePerS":20,"Burst":20}]' config "$2" 900 |
    curl -s -L -m 3 -o "$work/put" -w '%{http_code}' \
      -H 'Content-Type: application/json' --data-binary @- "$1/v1/Config.Replace"
}
tenants_accepted() {
  for i in 1 2 3; do
    [ "$(put_config_with_tenants $net.$i:7180 "$1")" = 200 ] && return 0
  done
  return 1
}
phase() { curl -s -m 1 "$net.1$1:8081/state" | sed -n 's/.*"phase":"\([a-z]*\)".*/\1/p'; }
has_phase() { [ "$(phase "$1")" = "$2" ]; }
coordinators() { grep -c event=quota_coordination_began "$work"/c*.log | grep -v ':0$' | wc -l; }

start_standin
for i in 1 2 3; do start_control $i true; done
for i in 1 2; do start_entry $i; done
within $ack_ms "a configuration without quotas is accepted" config_accepted 3 900
for i in 1 2; do within $recovery_ms "entry VM $i is ready" is_ready $i; done
for i in 1 2; do expect "entry VM $i got no quota state" unknown "$(phase $i)"; done
expect "no control VM coordinates" 0 "$(coordinators)"

within $ack_ms "a configuration with a quota is accepted" tenants_accepted 4
for i in 1 2; do within 4000 "entry VM $i has a fresh state" has_phase $i fresh; done
expect "one control VM coordinates" 1 "$(coordinators)"

leader=$(grep -l event=quota_coordination_began "$work"/c*.log | sed 's/.*c\([0-9]\).log/\1/')
kill_process "c$leader"
two_coordinated() { [ "$(coordinators)" = 2 ]; }
within 5000 "another control VM coordinates" two_coordinated
for i in 1 2; do within 5000 "entry VM $i has a fresh state again" has_phase $i fresh; done
expect "the customers' key is not logged" 0 "$(cat "$work"/*.log | grep -c key-1 || true)"
echo "platform quotas: all checks passed"
