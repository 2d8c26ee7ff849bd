#!/usr/bin/env bash
# Repeats the changes of snapshots with new seeds, and sums queries, outcomes and
# violations over all runs: RUNS (13) of 16 s at RATE (500) queries a second.
set -euo pipefail
cd "$(dirname "$0")/.."
export NAME=${NAME:-soak} REPEAT=${RUNS:-13} RATE=${RATE:-500} ALL_ADAPTIVE=1
status=0
scripts/experiment.sh experiments/snapshots.jsonc config/experiments/standin.jsonc >"out/$NAME.txt" || status=$?
jq -s -f scripts/soak.jq out/"$NAME"/seed-*.json
exit $status
