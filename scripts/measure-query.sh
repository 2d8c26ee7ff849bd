#!/usr/bin/env bash
# Compares no hedging, a fixed delay and adaptive hedging on loopback.
# Usage: scripts/measure-query.sh EXPERIMENT [SERVICES]; SERVICES × 2 leaves.
set -euo pipefail
cd "$(dirname "$0")/.."
EXPERIMENT=$1
SERVICES=${2:-20}
FOLDER=${FOLDER:-$PWD/measure-query}
HEDGES=('{"mode": "none"}' '{"mode": "fixed", "delay": "12ms"}' '{"mode": "adaptive"}')
. scripts/fleet.sh

trap 'stop_all || true' EXIT
rm -rf "$FOLDER"
mkdir -p "$FOLDER/data"
bin/radishturn keys init "$FOLDER/keys" >/dev/null
sed "s|@SERVICES@|$SERVICES|g" experiments/query/standin.jsonc >"$FOLDER/standin.jsonc"
start_standin "$FOLDER/standin.jsonc"
for n in 1 2 3; do
  bin/radishturn keys issue "$FOLDER/keys" "q$n" >/dev/null
  sed "s|@N@|$n|g; s|@FOLDER@|$FOLDER|g; s|@SERVICES@|$SERVICES|g; s|@HEDGE@|${HEDGES[n - 1]}|" \
    experiments/query/instance.jsonc >"$FOLDER/e$n.jsonc"
  start "q$n" bin/radishturnd -config "$FOLDER/e$n.jsonc"
done
for n in 1 2 3; do
  for _ in $(seq 100); do
    curl -fsS -o /dev/null "http://127.0.0.1:871$n/readyz" 2>/dev/null && break
    sleep 0.1
  done
done
bin/radishturn load --experiment "experiments/query/$EXPERIMENT.jsonc" --report "$FOLDER/report.json"
for n in 1 2 3; do
  echo "q$n leaf requests:"
  curl -sS "http://127.0.0.1:871$n/metrics" | grep -E '^radishturn_query_leaf_requests_total.*[1-9]' || true
done
stop_all
trap - EXIT
