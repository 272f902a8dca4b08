#!/usr/bin/env bash
# Tests the shutdown of marigold-entry under load. If it is wrong, callers lose
# requests on each deployment: the process refuses or drops requests that the
# load balancer still sends, or exits before it has answered. An operator must be
# able to end the process at once by a second signal.
set -uo pipefail
cd "$(dirname "$0")/../../build/release"
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT
fail() {
  echo "FAILED: $*"
  tail -n 5 "$work"/*.log
  exit 1
}
# Waits for at most 10 s until a command succeeds.
await() {
  for _ in $(seq 200); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  fail "expected within 10 s: $*"
}
platform=127.0.0.51:18300
# start_entry NAME ADDRESS FLAGS...
start_entry() {
  ./marigold-entry --open --listen="$2" --platform=$platform --vm="$1" "${@:3}" 2>"$work/$1.log" &
  entry=$!
  pids+=("$entry")
}
search() {
  curl -s -m 10 -w '%{http_code}' -o "$work/answer" \
    -d '{"request_id":"r","customer":"c","service":"lookup","query":"q","deadline_ms":5000}' \
    "http://$1/v1/search"
}
serves() { [ "$(search "$1")" = 200 ]; }
health() { curl -s -o /dev/null -w '%{http_code}' "http://$1/health"; }
has_health() { [ "$(health "$1")" = "$2" ]; }

./marigold-standin --platform=$platform --address-prefix=127.51 --port=18310 2>"$work/standin.log" &
pids+=("$!")

# One process stops while another one serves. The load balancer distributes
# requests over both, and every request must be answered.
start_entry one 127.0.0.51:18301 --grace-ms=1000
one=$entry
start_entry two 127.0.0.51:18302
await serves 127.0.0.51:18301
await serves 127.0.0.51:18302
./marigold-load --entry=127.0.0.51:18301,127.0.0.51:18302 --rate=200 --duration-s=4 \
  --expect='failed<=0,refused<=0,answers>=700' >"$work/load.txt" 2>&1 &
load=$!
sleep 1
kill -TERM "$one"
await has_health 127.0.0.51:18301 503
wait "$one"
status=$?
[ $status -eq 0 ] || fail "expected exit 0 after the grace period, actual $status"
wait "$load" || fail "expected an answer to every request, actual $(grep -E '^(failed|refused|answers |expected)' "$work/load.txt")"
grep -q invariant_violated "$work/one.log" && fail "expected no violated invariant"

# A request in flight is answered although the grace period is 0.
curl -s -o /dev/null -d '{"change":"service_time","ms":1000}' "http://$platform/v1/admin"
start_entry three 127.0.0.51:18303 --grace-ms=0
three=$entry
await has_health 127.0.0.51:18303 200
await serves 127.0.0.51:18303
search 127.0.0.51:18303 >"$work/code" &
slow=$!
await sh -c "curl -s http://127.0.0.51:18303/state | grep -q '\"requests_in_flight\":1'"
kill -TERM "$three"
wait "$slow"
[ "$(cat "$work/code")" = 200 ] || fail "expected 200 for the request in flight, actual $(cat "$work/code")"
wait "$three"
status=$?
[ $status -eq 0 ] || fail "expected exit 0 after the answer, actual $status"

# A request in flight that has more time left than the process is answered before
# the process exits.
start_entry five 127.0.0.51:18305 --grace-ms=0 --stop-bound-ms=1500
five=$entry
await has_health 127.0.0.51:18305 200
await serves 127.0.0.51:18305
curl -s -o /dev/null -d '{"change":"service_time","ms":4000}' "http://$platform/v1/admin"
search 127.0.0.51:18305 >"$work/code" &
slow=$!
await sh -c "curl -s http://127.0.0.51:18305/state | grep -q '\"requests_in_flight\":1'"
kill -TERM "$five"
wait "$slow"
[ "$(cat "$work/code")" = 504 ] || fail "expected 504 at the stop bound, actual $(cat "$work/code")"
grep -q may_have_run "$work/answer" || fail "expected may_have_run, actual $(cat "$work/answer")"
wait "$five"
status=$?
[ $status -eq 0 ] || fail "expected exit 0 after the answer, actual $status"
curl -s -o /dev/null -d '{"change":"service_time","ms":1000}' "http://$platform/v1/admin"

# The second signal ends the process at once with exit code 1.
start_entry four 127.0.0.51:18304 --grace-ms=20000
four=$entry
await has_health 127.0.0.51:18304 200
kill -TERM "$four"
await has_health 127.0.0.51:18304 503
kill -TERM "$four"
wait "$four"
status=$?
[ $status -eq 1 ] || fail "expected exit 1 after the second signal, actual $status"
echo "entry shutdown: all checks passed"
