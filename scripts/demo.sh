#!/usr/bin/env bash
# Starts six instances and a stand-in on loopback, sends queries and orders for
# SECONDS_OF_LOAD seconds (5), prints the report and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
FOLDER=$PWD/demo
INSTANCES=6
SECONDS_OF_LOAD=${SECONDS_OF_LOAD:-5}
. scripts/fleet.sh

trap 'stop_all || true' EXIT
prepare_fleet $INSTANCES
start_standin config/demo/standin.jsonc
for n in $(seq $INSTANCES); do start_instance "$n"; done
for n in $(seq $INSTANCES); do wait_ready "$n"; done
bin/radishturn status
echo
curl -sS "http://$(caller_address 4)/v1/collections/shopfront/query" \
  -H 'Content-Type: application/json' -H 'Radishturn-Caller: bakery' \
  -d '{"query": "olive bread", "route": "search", "limit": 3}'
echo
curl -sS "http://$(caller_address 5)/v1/collections/shopfront/orders" \
  -H 'Content-Type: application/json' -H 'Idempotency-Key: demo-1' \
  -d '{"leafKey": "loaf-17", "order": "two loaves for Saturday"}'
echo
bin/radishturn load --entries "$(entries)" --standin "127.0.0.1:$((7001 + PORT_SHIFT))" --collection shopfront \
  --rate 100 --duration "${SECONDS_OF_LOAD}s" --max-requests 10000 \
  --order-share 0.05 --order-services 20 --order-leaves 2
stop_all
trap - EXIT
echo "everything stopped cleanly"
