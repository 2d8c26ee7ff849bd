#!/usr/bin/env bash
# Runs an experiment against a new fleet of six instances and a stand-in on
# loopback: scripts/experiment.sh EXPERIMENT [STANDIN-SETTINGS] [LOAD-FLAGS...]
# e1 and e2 do not hedge, e3 and e4 hedge after a fixed delay, e5 and e6 adapt.
# ALL_ADAPTIVE=1 makes all six adapt. RULES=FILE applies rules before the load.
set -euo pipefail
cd "$(dirname "$0")/.."
EXPERIMENT=$1
STANDIN=${2:-config/experiments/standin.jsonc}
shift $(($# < 2 ? $# : 2))
FOLDER=$PWD/out/fleet
TEMPLATE=config/experiments/instance.jsonc
INSTANCES=6
. scripts/fleet.sh

hedge_of() { # N
  case $1 in
    1 | 2) echo '"hedge": {"mode": "none"},' ;;
    3 | 4) echo '"hedge": {"mode": "fixed", "delay": "12ms"},' ;;
  esac
}

entries() { # addresses for callers, separated by commas
  local list
  list=$(seq -f '127.0.0.1:810%.0f' $INSTANCES)
  echo "${list//$'\n'/,}"
}

# Instances count targets as cold until they are shown warm, so a first load
# through all of them comes before the measured one.
warm_up() {
  local collection
  collection=$(sed -n 's/.*"collection": "\([a-z-]*\)".*/\1/p' "$EXPERIMENT")
  bin/radishturn load --entries "$(entries)" --standin 127.0.0.1:7001 --collection "$collection" \
    --rate 100 --duration 5s --max-requests 1000 >"$FOLDER/warm-up.txt" || true
}

trap 'stop_all || true' EXIT
prepare_fleet $INSTANCES
for n in $(seq $INSTANCES); do
  hedge=$([ -n "${ALL_ADAPTIVE:-}" ] || hedge_of "$n")
  sed -i "s|@HEDGE@|$hedge|" "$FOLDER/e$n.jsonc"
done
start_standin "$STANDIN"
for n in $(seq $INSTANCES); do start_instance "$n"; done
for n in $(seq $INSTANCES); do wait_ready "$n"; done
warm_up
[ -z "${RULES:-}" ] || bin/radishturn rules apply "$RULES"
status=0
bin/radishturn load "$EXPERIMENT" "$@" || status=$?
trap - EXIT
stop_all
exit $status
