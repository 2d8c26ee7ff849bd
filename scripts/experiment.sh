#!/usr/bin/env bash
# Runs an experiment against a new fleet of six instances and a stand-in on
# loopback: scripts/experiment.sh EXPERIMENT [STANDIN-SETTINGS] [LOAD-FLAGS...]
# e1 and e2 do not hedge, e3 and e4 hedge after a fixed delay, and e5 and e6 use an
# adaptive delay. The script prints the number of goroutines of each instance
# before the load and 2 s after it.
#
# Environment variables:
#   ALL_ADAPTIVE=1  all six instances hedge after an adaptive delay
#   RULES=FILE      applies rules before the load and lists the moves after it
#   RULES_DURING="SECONDS:FILE ..."
#                   applies each FILE that many seconds into the first variant
#   PORT_SHIFT=N    adds N to every port
#   NAME=NAME       name of the output folder in out/
#   REPEAT=N        runs the load N times against the same fleet, with seeds 1 to N
#   RATE=N          replaces the rate of the experiment
set -euo pipefail
cd "$(dirname "$0")/.."
EXPERIMENT=$1
STANDIN=${2:-config/experiments/standin.jsonc}
shift $(($# < 2 ? $# : 2))
FOLDER=$PWD/out/${NAME:-fleet}
TEMPLATE=config/experiments/instance.jsonc
INSTANCES=6
. scripts/fleet.sh

hedge_setting() { # N: prints the hedge setting of instance N
  case $1 in
    1 | 2) echo '"hedge": {"mode": "none"},' ;;
    3 | 4) echo '"hedge": {"mode": "fixed", "delay": "12ms"},' ;;
  esac
}

# Instances treat targets as cold until shown otherwise, so an unmeasured load
# through all instances precedes the measured one.
send_unmeasured_load() {
  local collection
  collection=$(sed -n 's/.*"collection": "\([a-z-]*\)".*/\1/p' "$EXPERIMENT")
  bin/radishturn load --entries "$(entries)" --standin "127.0.0.1:$((7001 + PORT_SHIFT))" --collection "$collection" \
    --rate 100 --duration 5s --max-requests 1000 >"$FOLDER/warm-up.txt" || true
}

run_load() { # SEED FLAGS...
  local file=$FOLDER/seed-$1.jsonc seed=$1
  shift
  shift_ports <"$EXPERIMENT" |
    sed -E "s|(\"seed\": )[0-9]+|\1$seed|; ${RATE:+s|^(    \"rate\": )[0-9]+|\1$RATE|}" >"$file"
  bin/radishturn load "$file" --report "$FOLDER/seed-$seed.json" "$@"
}

apply_rules_during() { # runs in parallel with the load, whose first variant starts after the settle time
  local settle step
  settle=$(sed -n 's/.*"settle": "\([0-9]*\)s".*/\1/p' "$EXPERIMENT")
  SECONDS=0
  for step in $RULES_DURING; do
    sleep $((settle + ${step%%:*} - SECONDS))
    bin/radishturn rules apply "${step#*:}" 2>&1 | sed "s|^|at ${step%%:*} s: |"
  done
}

trap 'stop_all || true' EXIT
prepare_fleet $INSTANCES
for n in $(seq $INSTANCES); do
  hedge=$([ -n "${ALL_ADAPTIVE:-}" ] || hedge_setting "$n")
  sed -i "s|@HEDGE@|$hedge|" "$FOLDER/e$n.jsonc"
done
start_standin "$STANDIN"
for n in $(seq $INSTANCES); do start_instance "$n"; done
for n in $(seq $INSTANCES); do wait_ready "$n"; done
send_unmeasured_load
[ -z "${RULES:-}" ] || bin/radishturn rules apply "$RULES"
goroutines
status=0
[ -z "${RULES_DURING:-}" ] || start rules apply_rules_during
for seed in $(seq "${REPEAT:-1}"); do run_load "$seed" "$@" || status=$?; done
sleep 2
[ -z "${RULES_DURING:-}" ] || cat "$FOLDER/rules.log"
goroutines
[ -z "${RULES:-}" ] || bin/radishturn moves list
trap - EXIT
stop_all
exit $status
