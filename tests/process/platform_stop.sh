#!/usr/bin/env bash
# Tests the graceful stop of marigold-platform-entry while requests are in flight
# or still arrive. If it is wrong, callers lose requests on each deployment:
# connections end without an answer when the process exits, among them those of
# actions, which must not be repeated.
set -euo pipefail
base=127.54
stop_bound_s=5
. "$(dirname "$0")/../platform/system.sh"

start_standin
for i in 1 2 3; do start_control $i true; done
start_entry 1
# No request reaches its own time limit before the process has to exit.
within $ack_ms "a configuration is accepted" config_accepted 3 30000
within $recovery_ms "the entry VM is ready" is_ready 1

# send_slowly ID PATH DELAY_S: sends the last byte of an action after a delay, and
# prints the status of the answer, or nothing if the connection ends without one.
send_slowly() {
  exec 3<>"/dev/tcp/$net.11/8080"
  printf 'POST %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\n' "$2" "$1" >&3
  printf 'X-Deadline-Ms: 30000\r\nContent-Length: 3\r\n\r\nx=' >&3
  sleep "$3"
  printf 1 >&3
  head -n 1 <&3 | cut -d ' ' -f 2
}
# in_background ID PATH DELAY_S
in_background() {
  (send_slowly "$@" >"$work/status-$1" 2>/dev/null || true) &
  requests+=($!)
}
requests=()
in_background in-flight /act/silent 0
in_background served-late /act/1 2.7
in_background unanswered-late /act/silent 3
in_background too-late /act/silent 4.35
is_running() { [ "$(run_count in-flight)" = 1 ]; }
within 1000 "the action in flight has reached its server" is_running
kill -TERM "${pids[e1]}"
has_exited() { ! kill -0 "${pids[e1]}" 2>/dev/null; }
within $((stop_bound_s * 1000)) "the process exits" has_exited
for request in "${requests[@]}"; do wait "$request"; done

status_of() { cat "$work/status-$1"; }
expect "an action in flight without an answer is answered before the exit" 504 "$(status_of in-flight)"
expect "an action that arrives while the process stops is served" 200 "$(status_of served-late)"
expect "an action that arrives late and gets no answer is answered before the exit" 504 \
  "$(status_of unanswered-late)"
expect "it ran once" 1 "$(run_count unanswered-late)"
expect "an action that arrives shortly before the exit is refused" 503 "$(status_of too-late)"
expect "the refused action did not run" 0 "$(run_count too-late)"
echo "platform stop: all checks passed"
