#!/usr/bin/env bash
# Runs a control group of three processes on loopback addresses and tests resent
# and concurrent edits, a killed and a frozen leader, a lost data folder, a lost
# quorum, and a restart after 10,000 changes.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=build/release
work=$(mktemp -d)
net=127.41.0
controls=$net.1:7100,$net.2:7100,$net.3:7100
declare -A pids

cleanup() {
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

fail() {
  echo "FAILED: $*"
  ctl status || true
  tail -n 5 "$work"/*.log
  exit 1
}

start() {
  "$bin/marigold-control" --vm="c$1" --listen="$net.$1:7100" \
    --http="$net.$1:7180" --data-folder="$work/$1" --peers=$controls --init \
    --replace-after-ms=1500 >>"$work/$1.log" 2>&1 &
  pids[$1]=$!
  disown
}

# Kills a control VM with SIGKILL and waits until its process has ended.
stop() {
  kill -KILL "${pids[$1]}"
  while kill -0 "${pids[$1]}" 2>/dev/null; do sleep 0.01; done
}

ctl() { "$bin/marigoldctl" --controls=$controls --timeout-ms=8000 "$@"; }
put() { ctl "$@" 2>>"$work/put.log"; }
now_ms() { date +%s%3N; }

# within BOUND_MS NAME COMMAND...: runs the command until it succeeds. Fails the
# test if it does not succeed within the bound in milliseconds.
within() {
  local bound=$1 what=$2 began
  shift 2
  began=$(now_ms)
  until "$@" >/dev/null 2>&1; do
    [ $(($(now_ms) - began)) -le "$bound" ] || fail "$what within $bound ms"
    sleep 0.02
  done
  echo "$what after $(($(now_ms) - began)) ms (bound $bound ms)"
}

state() { curl -sS -m 1 "$net.$1:7180/state"; }
field() { state "$1" | grep -o "\"$2\":[^,]*" | head -1 | cut -d: -f2-; }
leads() { [ "$(field "$1" leads)" = true ] && [ "$(field "$1" has_quorum)" = true ]; }
# Prints the number of the leader among the given control VMs. Fails if none of
# them is a leader in contact with a quorum.
leader() {
  local i
  for i in "$@"; do leads "$i" && echo "$i" && return 0; done
  return 1
}
# Prints the number of a control VM that is not a leader in contact with a
# quorum.
follower() {
  local i
  for i in 1 2 3; do leads "$i" || { echo "$i" && return 0; }; done
}
has_lists() { [ "$(field "$1" lists_index)" -ge "$2" ]; }
expect() {
  [ "$2" = "$3" ] || fail "$1: expected $2, actual $3"
  echo "ok: $1"
}

usage() {
  echo "{\"rows\": [{\"plan\": \"$1\", \"services\": [\"lookup\"], \"rate\": $2," \
    "\"burst\": 5, \"concurrency\": 5}]}"
}
usage gold 10 >"$work/gold.json"
usage tin 1 >"$work/tin.json"
usage lead 1 >"$work/lead.json"

for i in 1 2 3; do start $i; done
within 5000 "a first leader" leader 1 2 3

# Guards against a resent change that is executed again instead of getting the
# original answer. The operator would see a version conflict for a change that
# was accepted.
first=$(put --change-id=first --expected=0 put usage "$work/gold.json")
again=$(put --change-id=first --expected=0 put usage "$work/gold.json")
expect "a resent change gets the original answer" "$first" "$again"
reused=$(put --change-id=first --expected=1 put usage "$work/tin.json" || true)
expect "a change id reused with different content is refused" yes \
  "$(grep -q change_id_reused <<<"$reused" && echo yes)"

# Guards against two concurrent changes of the same version that are both
# accepted. One would silently overwrite the other.
(put --change-id=race-a --expected=1 put usage "$work/tin.json" >"$work/a" || echo $? >>"$work/a") &
race=$!
put --change-id=race-b --expected=1 put usage "$work/lead.json" >"$work/b" || echo $? >>"$work/b"
wait $race
expect "one of two concurrent changes is accepted" 1 \
  "$(cat "$work/a" "$work/b" | grep -c '"accepted":true')"
expect "the other change is refused as did-not-run" 1 \
  "$(cat "$work/a" "$work/b" | grep -c 'did_not_run.*version_conflict')"

# Guards against accepted changes that are lost when the leader crashes.
old=$(leader 1 2 3)
stop "$old"
rest=$(echo 1 2 3 | tr -d "$old")
# shellcheck disable=SC2086
within 2000 "a new leader after SIGKILL" leader $rest
again=$(put --change-id=first --expected=0 put usage "$work/gold.json")
expect "a change resent to the new leader gets the original answer" "$first" "$again"
put --change-id=third --expected=2 put usage "$work/gold.json" >/dev/null ||
  fail "two of three control VMs did not accept a change"
# shellcheck disable=SC2086
newest=$(field "$(leader $rest)" lists_index)
start "$old"
within 2000 "the restarted VM has the lists" has_lists "$old" "$newest"

may_vote() { [ "$(field "$1" may_vote)" = true ]; }

# Guards against a group that two faults block permanently. The killed VM has
# restarted, but its peers may not have confirmed its start when the leader
# freezes, so that two of three voters do not vote. Changes must be accepted
# again within 8 s.
old=$(leader 1 2 3)
kill -STOP "${pids[$old]}"
rest=$(echo 1 2 3 | tr -d "$old")
# shellcheck disable=SC2086
within 8000 "a new leader after SIGSTOP just after a restart" leader $rest
put --change-id=fourth --expected=3 put usage "$work/tin.json" >/dev/null ||
  fail "no change was accepted while one VM was frozen"
kill -CONT "${pids[$old]}"
# shellcheck disable=SC2086
newest=$(field "$(leader $rest)" lists_index)
within 2000 "the continued VM has the lists" has_lists "$old" "$newest"

# Guards against a frozen leader that prevents the two other voters from electing
# a new one.
for i in 1 2 3; do within 8000 "VM $i may vote" may_vote $i; done
old=$(leader 1 2 3)
kill -STOP "${pids[$old]}"
rest=$(echo 1 2 3 | tr -d "$old")
# shellcheck disable=SC2086
within 2000 "a new leader after SIGSTOP" leader $rest
kill -CONT "${pids[$old]}"
within 2000 "the continued VM has the lists again" has_lists "$old" "$newest"

# Guards against a VM that has lost its disk and votes under its old disk id. It
# could vote twice in a term, or elect a leader without accepted changes.
lost=$(follower)
disk=$(field "$lost" disk)
stop "$lost"
rm -rf "${work:?}/$lost"
start "$lost"
replaced() {
  local l
  l=$(leader 1 2 3) &&
    ! state "$l" | grep -q "$disk" &&
    [ "$(state "$l" | grep -o '"members":.*' | grep -o '"role":"voter"' | wc -l)" = 3 ]
}
within 20000 "the VM without its disk is a voter under a new disk id" replaced
within 2000 "the VM without its disk has the lists" has_lists "$lost" "$newest"

# Guards against a leader without a quorum that accepts a change, or leaves the
# operator in doubt about it.
old=$(leader 1 2 3)
others=$(echo 1 2 3 | tr -d "$old")
for i in $others; do stop "$i"; done
no_quorum() { [ "$(field "$old" has_quorum)" = false ]; }
within 2000 "the leader reports that it has no quorum" no_quorum
code=0
put --timeout-ms=1000 --change-id=lost --expected=4 put usage "$work/gold.json" >/dev/null ||
  code=$?
expect "a change without a quorum is refused as did-not-run" 1 "$code"
for i in $others; do start "$i"; done
within 3000 "a leader after the quorum is restored" leader 1 2 3
put --change-id=fifth --expected=4 put usage "$work/gold.json" >/dev/null ||
  fail "no change was accepted after the quorum was restored"

# Guards against a restart that takes long because it replays the whole log.
"$bin/marigold-control-load" --controls=$controls --work=edits \
  --commands=10000 2>/dev/null || fail "10,000 edits were not all accepted"
newest=$(field "$(leader 1 2 3)" lists_index)
restarted=$(follower)
stop "$restarted"
start "$restarted"
within 1000 "the lists after 10,000 changes and a restart" has_lists "$restarted" "$newest"

# Guards against accepted edits that reach the entry VMs late.
"$bin/marigold-control-load" --controls=$controls --work=force --commands=20 2>/dev/null |
  tee "$work/force" || fail "edits were not all accepted"
slowest=$(grep -o 'max_ms=[0-9]*' "$work/force" | cut -d= -f2)
[ "$slowest" -le 2000 ] || fail "edits in force: expected within 2000 ms, actual $slowest ms"

for i in 1 2 3; do
  violations=$(curl -sS "$net.$i:7180/metrics" |
    grep '^marigold_invariant_violations_total' | grep -vc ' 0$' || true)
  expect "no invariant was violated on VM $i" 0 "$violations"
done
for i in 1 2 3; do kill -TERM "${pids[$i]}"; done
ended() { ! kill -0 "${pids[1]}" && ! kill -0 "${pids[2]}" && ! kill -0 "${pids[3]}"; }
within 3000 "all processes end on SIGTERM" ended
echo "control group: all checks passed"
