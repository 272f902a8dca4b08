#!/usr/bin/env bash
# Tests that running processes take up new addresses of control VMs when their settings
# file changes, without a signal. If it is wrong, an entry VM or a new control VM that
# was started with the addresses of control VMs that are gone never finds the group.
set -euo pipefail
base=127.59
. "$(dirname "$0")/../platform/system.sh"

start_standin
for i in 1 2 3; do start_control $i true; done
within $ack_ms "a first configuration is accepted" config_accepted 3 1200
current_seeds=$seeds
seeds=$net.101:7180,$net.102:7180
export MARIGOLDDOCK_SETTINGS=$work/settings
echo "$seeds" >"$MARIGOLDDOCK_SETTINGS"
start_entry 1
start_control 4 false
within $ack_ms "the entry VM listens" curl -s -m 1 "$net.11:8081/v1/ready"
sleep 1
expect "an entry VM without a control VM is not ready" 1 "$(is_ready 1 && echo 0 || echo 1)"
echo "not a list of seeds" >"$MARIGOLDDOCK_SETTINGS"
sleep 3
echo "${current_seeds//,/, }" >"$MARIGOLDDOCK_SETTINGS.new"
mv "$MARIGOLDDOCK_SETTINGS.new" "$MARIGOLDDOCK_SETTINGS"
within $recovery_ms "the entry VM is ready" is_ready 1
within $recovery_ms "the new control VM follows the group" follows_group 4
expect "the invalid content was logged by both" 2 \
  "$(cat "$work"/e1.log "$work"/c4.log | grep -c event=seeds_file_ignored)"
echo "platform seeds: all checks passed"
