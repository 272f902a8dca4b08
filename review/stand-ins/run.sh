#!/usr/bin/env bash
# Runs the driver of one case: stand-ins/run.sh N. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the driver
# leaves the disruption out. With LOGS=FOLDER the programs' logs are kept there.
set -u
number=$1
cd "$(dirname "$0")/../.." || exit 2
driver=target/review-2/case$number
for program in "$driver" target/marigold-platform-entry target/marigold-platform-control; do
  [ -x "$program" ] || {
    echo "missing: $program (run the deploy file's build and review/build-2.sh)"
    exit 2
  }
done
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 2 115 "$driver" --record "review/$number/record.txt" --work "$work"
code=$?
if [ -n "${LOGS:-}" ]; then mkdir -p "$LOGS" && cp "$work"/*.log "$LOGS"/; fi
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
