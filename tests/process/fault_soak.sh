#!/usr/bin/env bash
# A randomised soak test of the platform's programs, which run as separate
# processes on loopback addresses. The script kills, pauses and stops processes,
# deletes data folders and changes the configuration. A relay cuts, silences or
# delays connections from callers, to backend servers and to the list of backend
# servers. Faults of connections overlap with the others. Callers keep their
# connections open and check every answer. At the end, the record of the backend
# servers shows how often each action ran.
#
#   fault_soak.sh [SEED] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/../.."
seed=${1:-1}
seconds=${2:-8}
bin=build/release
work=$(mktemp -d "/tmp/marigold-soak-$seed.XXXXXX")
# Each seed uses its own addresses, so that several seeds can run at the same
# time.
net=127.$((100 + seed % 100)).$((seed / 100 % 120 * 2))
servers=127.$((100 + seed % 100)).$((seed / 100 % 120 * 2 + 1))
port=7100
seeds=$net.1:7180,$net.2:7180,$net.3:7180
relay=$net.200:9100
# The links of the relay to entry VMs, to the list and to backend servers.
links="e1 e2 list b1 b2 b3 b4 b5 b6"
link_targets="e1=$net.11:8090>$net.11:8080,e2=$net.12:8090>$net.12:8080"
link_targets+=",list=$net.100:7301>$net.100:7300"
for i in 1 2 3 4 5 6; do link_targets+=",b$i=$servers.$i:9001>$servers.$i:9000"; done
controls="1 2 3 4"
entries="1 2"
# Even seeds test the path through other entry VMs.
fan_out=$([ $((seed % 2)) = 0 ] && echo groups || echo automatic)
declare -A pids
RANDOM=$seed

finish() {
  local status=$?
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ $status -eq 0 ]; then rm -rf "$work"; else echo "logs of seed $seed: $work"; fi
}
trap finish EXIT
fail() { echo "FAILED seed $seed: $*"; exit 1; }

start_control() {
  "$bin/marigold-platform-control" --vm="c$1" --data-centre=dc1 \
    --data-folder="$work/c$1" --operators=$net.$1:7180 --seeds=$seeds \
    --internal-port=$port --server-list=$net.100:7301 --first-start="$2" \
    --losses=1 >>"$work/c$1.log" 2>&1 &
  pids[c$1]=$!
  disown
}
start_entry() {
  "$bin/marigold-platform-entry" --vm="e$1" --data-centre=dc1 \
    --listen=$net.1$1:8080 --admin=$net.1$1:8081 --seeds=$seeds \
    --internal-port=$port --server-list=$net.100:7301 --stop-bound-s=4 \
    --fan-out="$fan_out" \
    >>"$work/e$1.log" 2>&1 &
  pids[e$1]=$!
  disown
}
start() { case $1 in c*) start_control "${1#c}" false ;; *) start_entry "${1#e}" ;; esac; }
alive() { kill -0 "${pids[$1]}" 2>/dev/null; }
kill_process() {
  kill -KILL "${pids[$1]}" 2>/dev/null || true
  while alive "$1"; do sleep 0.01; done
}
pause() { sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"; }
pick_random() { local all=($1); echo "${all[$((RANDOM % ${#all[@]}))]}"; }

# Sends a command to the relay.
set_link() {
  curl -s -m 1 -o /dev/null --data "$1" "http://$relay/v1/links" ||
    fail "the relay did not accept the command $1"
}
# Applies a fault to a link for DURATION ms in the background.
inject_link_fault() {
  local link=$1 change=$2 duration=$3
  local extra=""
  if [ "$change" = delay ]; then extra=",\"ms\":$((5 + RANDOM % 150))"; fi
  set_link "{\"change\":\"$change\",\"link\":\"$link\"$extra}"
  (pause "$duration"; set_link "{\"change\":\"resume\",\"link\":\"$link\"}") &
  link_faults+=($!)
}

config() {
  cat <<JSON
{"Version":$1,"Routes":[
 {"Name":"all","Host":"a.example","PathPrefix":"/x/","RouteType":"idempotent",
  "TimeoutMs":$((700 + $1 % 300)),"TargetLatencyMs":200,"Gather":["s1","s2","s3"],
  "Attempts":2,"TopK":50,"MinCoverage":0.6},
 {"Name":"act","Host":"a.example","PathPrefix":"/act/","RouteType":"non_idempotent",
  "TimeoutMs":900,"Backend":"s1","Attempts":3}],
 "Backends":[{"Name":"s1"},{"Name":"s2"},{"Name":"s3"}]}
JSON
}
acked=0
# submit_config TRIES: sends the next version to random control VMs until it is accepted.
submit_config() {
  version=$((version + 1 + RANDOM % 3))
  local i tries
  for tries in $(seq 1 "$1"); do
    i=$(pick_random "$controls")
    if [ "$(config $version | curl -s -L -m 1 -o /dev/null -w '%{http_code}' \
      --data-binary @- "$net.$i:7180/v1/Config.Replace" || true)" = 200 ]; then
      acked=$version
      return 0
    fi
    sleep 0.05
  done
  return 1
}
read_version() {
  local i
  for i in $controls; do
    curl -s -L -m 1 "$net.$i:7180/v1/Config.Read" | grep -o '"Version":[0-9]*' |
      cut -d: -f2 && return 0
  done
  return 1
}
serves_full_answers() {
  curl -s -m 2 -D "$work/header" -o /dev/null -H 'Host: a.example' \
    -H "X-Request-Id: h-$RANDOM" -H 'X-Deadline-Ms: 1500' \
    "http://$net.1$1:8080/x/1" && grep -q '^X-Missing-Parts: 0' "$work/header"
}
within() {
  local bound=$1 what=$2 began
  began=$(date +%s%3N)
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ $(($(date +%s%3N) - began)) -le "$bound" ] || fail "expected within $bound ms: $what"
    sleep 0.05
  done
}

"$bin/marigold-relay" --control=$relay --links="$link_targets" \
  >"$work/relay.log" 2>&1 &
pids[relay]=$!
disown
"$bin/platform-standin" --list=$net.100:7300 --services=s1,s2,s3 --replicas=2 --listed-port=9001 \
  --network="$servers" --record="$work/record" >"$work/standin.log" 2>&1 &
pids[standin]=$!
disown
for i in $controls; do start_control "$i" true; done
for i in $entries; do start_entry "$i"; done
version=1
within 6000 "a first configuration is accepted" submit_config 3
for i in $entries; do within 6000 "entry VM $i serves" serves_full_answers "$i"; done

"$bin/platform-caller" --entries=$net.11:8090,$net.12:8090 --seed="$seed" \
  --seconds="$seconds" --shards=3 --actions="$work/actions" >"$work/caller.log" 2>&1 &
caller=$!

# The group tolerates the loss of one control VM. A fault hits the next control VM
# only after the group has had time to recover from the previous one.
deadline=$(($(date +%s%3N) + ${seconds%.*} * 1000))
faults=""
link_faults=()
control_free_at=0
while [ "$(date +%s%3N)" -lt "$deadline" ]; do
  now=$(date +%s%3N)
  entry=e$(pick_random "$entries")
  control=c$(pick_random "$controls")
  kind=$((RANDOM % 13))
  case $kind in
    0) faults+=" kill:$entry"; kill_process "$entry"; pause $((RANDOM % 500)); start "$entry" ;;
    1) faults+=" stop:$entry"; kill -TERM "${pids[$entry]}" 2>/dev/null || true
       pause $((RANDOM % 3000))
       while alive "$entry"; do sleep 0.05; done
       start "$entry" ;;
    2) faults+=" pause:$entry"; kill -STOP "${pids[$entry]}" 2>/dev/null || true
       pause $((RANDOM % 1500)); kill -CONT "${pids[$entry]}" 2>/dev/null || true ;;
    3 | 4 | 5)
      if [ "$now" -ge "$control_free_at" ]; then
        case $kind in
          3) faults+=" kill:$control"; kill_process "$control"; pause $((RANDOM % 1500)); start "$control" ;;
          4) faults+=" pause:$control"; kill -STOP "${pids[$control]}" 2>/dev/null || true
             pause $((RANDOM % 2500)); kill -CONT "${pids[$control]}" 2>/dev/null || true ;;
          5) faults+=" wipe:$control"; kill_process "$control"; rm -rf "${work:?}/$control"; start "$control" ;;
        esac
        # Until then, a spare or the VM itself has to catch up as a voter.
        control_free_at=$(($(date +%s%3N) + 4000))
      fi ;;
    6) faults+=" pause:standin"; kill -STOP "${pids[standin]}"; pause $((RANDOM % 800))
       kill -CONT "${pids[standin]}" ;;
    7 | 8 | 9 | 10)
      link=$(pick_random "$links")
      change=$(pick_random "cut silence silence_forward silence_back delay")
      faults+=" $change:$link"; inject_link_fault "$link" "$change" $((RANDOM % 1500)) ;;
    *) faults+=" change"; submit_config 3 || true ;;
  esac
  pause $((RANDOM % 300))
done
for link_fault in "${link_faults[@]}"; do wait "$link_fault" || fail "a link was not restored"; done
wait $caller || { grep violation "$work/caller.log" | head -5; fail "an answer was wrong; faults:$faults"; }

# Without faults, all processes must recover, and no configuration that was
# acknowledged may be lost.
for i in $controls; do alive "c$i" || start "c$i"; done
for i in $entries; do alive "e$i" || fail "entry VM $i exited without a fault; faults:$faults"; done
within 12000 "the configuration is read back" read_version
read_back=$(read_version)
[ "$read_back" -ge "$acked" ] || fail "expected version $acked or a later one, actual $read_back; faults:$faults"
within 8000 "a configuration is accepted again" submit_config 3
for i in $entries; do within 8000 "entry VM $i serves complete answers" serves_full_answers "$i"; done

# Compares the answers to actions with the number of times that each action ran.
# No action may run twice, and a refused action must not have run.
while read -r id status; do
  runs=$(grep -c "^$id " "$work/record" || true)
  [ "$runs" -le 1 ] || fail "action $id ran $runs times; faults:$faults"
  case $status in
    200) [ "$runs" = 1 ] || fail "action $id succeeded and ran $runs times; faults:$faults" ;;
    503 | 429 | 408 | 421) [ "$runs" = 0 ] || fail "action $id ran although it was refused as not run; faults:$faults" ;;
  esac
done <"$work/actions"
! grep -l "invariant_violated" "$work"/*.log || fail "an invariant was violated; faults:$faults"
echo "seed $seed: $(tail -1 "$work/caller.log") acked=$acked faults:$faults"
