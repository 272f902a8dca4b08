#!/usr/bin/env bash
# Tests control VMs whose disks take no bytes for some seconds, one after the other,
# while configurations change. If it is wrong, a control VM ends or never takes part
# again after its disk was full; once that has happened to most of them, changes are
# refused for good. Nothing restarts a process here.
#
# The variables rounds and full_s make a longer run.
set -euo pipefail
base=127.60
rounds=${rounds:-2}
full_s=${full_s:-2}
. "$(dirname "$0")/../platform/system.sh"

# A limit on the size of files refuses writes like a full disk does. The log of the
# process goes through a pipe, because it would be refused too.
start_control_with_pipe() {
  local limit=$2
  (
    [ "$limit" = none ] || ulimit -S -f "$limit"
    exec "$bin/marigold-platform-control" --vm="c$1" --data-centre=dc1 \
      --data-folder="$work/c$1" --operators=$net.$1:7180 --seeds=$seeds \
      --internal-port=$port --server-list=$list --first-start=true --losses=1
  ) > >(cat >>"$work/c$1.log") 2>&1 &
  pids[c$1]=$!
  disown
}
fill_disk() { prlimit --pid "${pids[c$1]}" --fsize=0:; }
free_disk() { prlimit --pid "${pids[c$1]}" --fsize=unlimited:; }

metric() { curl -s -m 1 "$net.$1:7180/metrics" | sed -n "s/^marigold_control_$2 //p"; }
has_failed() { [ "$(metric $1 storage_failed)" = 1 ] && [ "$(metric $1 has_quorum)" = 0 ]; }
is_well() { [ "$(metric $1 storage_failed)" = 0 ] && [ "$(metric $1 has_quorum)" = 1 ]; }
serves_version() { [ "$(send_request $1 "s-$version-$1-$RANDOM" /v$version/1)" = 200 ]; }
expect_all_run() {
  local i
  for i in 1 2 3; do
    kill -0 "${pids[c$i]}" 2>/dev/null || fail "expected that c$i runs"
  done
}

start_standin
# The disk of c1 is full when the process starts for the first time.
start_control_with_pipe 1 0
for i in 2 3; do start_control_with_pipe $i none; done
within $ack_ms "c1 says that its disk is not usable" grep -q event=storage_unusable "$work/c1.log"
free_disk 1
within $ack_ms "a first configuration is accepted" config_accepted 3 1200
for i in 1 2; do start_entry $i; done
for i in 1 2; do within $recovery_ms "entry VM $i is ready" is_ready $i; done
for i in 1 2 3; do within $recovery_ms "c$i follows the group" is_well $i; done

for ((round = 1; round <= rounds; round++)); do
  for full in 1 2 3; do
    fill_disk $full
    put_next_config 1 2 3
    within 2000 "c$full says that its disk is not usable" has_failed $full
    # Entry VMs follow another control VM and have the configuration in 3 s.
    for i in 1 2; do within 3000 "entry VM $i serves version $version" serves_version $i; done
    sleep "$full_s"
    put_next_config 1 2 3
    free_disk $full
    within 2000 "c$full follows the group again" is_well $full
    expect_all_run
  done
done

# All three were full, and each of them counts again: any two make a quorum.
for lost in 1 2 3; do
  kill -STOP "${pids[c$lost]}"
  put_next_config $(tr -d "$lost " <<<"1 2 3" | sed 's/./& /g')
  kill -CONT "${pids[c$lost]}"
  within $recovery_ms "c$lost follows the group" is_well $lost
done
expect_all_run
echo "platform full disk: all checks passed"
