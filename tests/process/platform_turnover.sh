#!/usr/bin/env bash
# Tests that every entry VM follows new configurations after all control VMs that it
# knew were replaced by others at new addresses, one after the other, while it could
# reach none of them. If it is wrong, such an entry VM keeps the routes of before for
# good: it answers 404 on routes that were added.
set -euo pipefail
base=127.57
entry_vms=12
# Within this time a configuration is in force after its acknowledgement.
apply_ms=3000
# Within this time after a disruption has ended, an entry VM follows the group.
contact_ms=4000
data_centre_of() { echo "dc$(((${1:1} - 1) % 3 + 1))"; }
. "$(dirname "$0")/../platform/system.sh"

start_standin
for i in 1 2 3; do start_control $i true; done
within $ack_ms "a first configuration is accepted" config_accepted 3 1200
for ((i = 1; i <= entry_vms; i++)); do start_entry $i; done
for ((i = 1; i <= entry_vms; i++)); do within $recovery_ms "entry VM $i is ready" is_ready $i; done

# The entry VM is frozen until all control VMs that it knows are gone.
kill -STOP "${pids[e1]}"
for i in 1 2 3; do
  kill_process c$i
  "$bin/unreachable-address" $net.$i:$port $net.$i:7180 >"$work/unreachable$i.log" 2>&1 &
  pids[unreachable$i]=$!
  disown
  seeds=$net.$((i % 3 + 1)):7180,$net.$((i + 3)):7180,$net.$((i + 2)):7180
  start_control $((i + 3)) false
  within $recovery_ms "the new control VM $((i + 3)) follows the group" follows_group $((i + 3))
  sleep $((contact_ms / 1000))
done
kill -CONT "${pids[e1]}"
sleep $((contact_ms / 1000))
put_next_config 4 5 6
sleep $((apply_ms / 1000))
expect "all entry VMs serve version $version after the turnover" "" "$(entries_behind $entry_vms)"
echo "platform turnover: all checks passed"
