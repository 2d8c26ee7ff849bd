#!/usr/bin/env bash
# Repeats the experiment with snapshot changes with seeds 1 to RUNS, and sums
# queries, outcomes and violations over all runs: RUNS (13) runs of the experiment's
# duration (16 s) at RATE (500) queries per second.
set -euo pipefail
cd "$(dirname "$0")/.."
export NAME=${NAME:-soak} REPEAT=${RUNS:-13} RATE=${RATE:-500} ALL_ADAPTIVE=1
status=0
scripts/experiment.sh experiments/snapshots.jsonc config/experiments/standin.jsonc >"out/$NAME.txt" || status=$?
jq -s -f scripts/soak.jq out/"$NAME"/seed-*.json
exit $status
