#!/usr/bin/env bash
# Tests that entry VMs follow new configurations while control VMs freeze, after one
# was replaced by another at a new address. If it is wrong, some entry VMs keep the
# routes of before for as long as the freeze lasts: they answer 404 on routes that
# were added, and send requests to services that no longer have them.
#
# The variables freeze_s, pause_s and rounds make a longer run.
set -euo pipefail
base=127.56
freeze_s=${freeze_s:-5}
pause_s=${pause_s:-1}
rounds=${rounds:-1}
entry_vms=12
# Within this time a configuration is in force after its acknowledgement, and a
# group has recovered after the loss of a control VM.
apply_ms=3000
contact_ms=4000
data_centre_of() {
  case $1 in
    c5) echo dc1 ;;
    c*) echo "dc${1#c}" ;;
    e*) echo "dc$((${1#e} % 4 + 1))" ;;
  esac
}
. "$(dirname "$0")/../platform/system.sh"

sleep_until_ms() {
  local left=$(($1 - $(now_ms)))
  [ $left -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}

start_standin
for i in 1 2 3 4; do start_control $i true; done
within $ack_ms "a first configuration is accepted" config_accepted 3 1200
for ((i = 1; i <= entry_vms; i++)); do start_entry $i; done
for ((i = 1; i <= entry_vms; i++)); do within $recovery_ms "entry VM $i is ready" is_ready $i; done

kill_process c1
"$bin/unreachable-address" $net.1:$port $net.1:7180 >"$work/unreachable.log" 2>&1 &
pids[unreachable]=$!
disown
start_control 5 false
within $recovery_ms "the new control VM follows the group" follows_group 5
sleep $((contact_ms / 1000))

for ((round = 1; round <= rounds; round++)); do
  for frozen in 2 3 4 5; do
    others=$(tr -d " $frozen" <<<"2 3 4 5" | sed 's/./& /g')
    kill -STOP "${pids[c$frozen]}"
    frozen_at=$(now_ms)
    sleep 0.5
    put_next_config $others
    acknowledged_at=$(now_ms)
    if [ $frozen = 3 ] && [ $round = 1 ]; then
      entry_vms=$((entry_vms + 1))
      start_entry $entry_vms
      within $contact_ms "an entry VM that starts during the freeze is ready" is_ready $entry_vms
    fi
    sleep_until_ms $((frozen_at + contact_ms))
    sleep_until_ms $((acknowledged_at + apply_ms))
    expect "all entry VMs serve version $version while c$frozen is frozen" "" "$(entries_behind $entry_vms)"
    sleep_until_ms $((frozen_at + freeze_s * 1000))
    kill -CONT "${pids[c$frozen]}"
    sleep "$pause_s"
  done
done
echo "platform freeze: all checks passed"
