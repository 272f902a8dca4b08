#!/usr/bin/env bash
# Runs the driver of one case: common/run.sh N. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the driver
# leaves the disruption out. The driver writes review/N/record.txt.
set -u
number=$1
cd "$(dirname "$0")/../.." || exit 2
driver=target/review/case$number
for program in "$driver" target/marigold-platform-entry target/marigold-platform-control; do
  [ -x "$program" ] || { echo "missing: $program (run the deploy file's build and review/build.sh)"; exit 2; }
done
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 2 115 "$driver" --record "review/$number/record.txt" --work "$work"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then mkdir -p "$KEEP_LOGS"; cp "$work"/*.log "$KEEP_LOGS"/; fi
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
