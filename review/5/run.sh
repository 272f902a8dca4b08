#!/usr/bin/env bash
# Shows case 5; see claim.txt. TROUBLE=0 leaves the disruption out and must pass.
# Writes record.txt beside this file.
export TROUBLE=${TROUBLE:-1}
exec "$(dirname "$0")/../common/run.sh" 5
