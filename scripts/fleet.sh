# Functions that start and stop a fleet on loopback; sourced by the other scripts.
# FOLDER holds keys, settings, logs and data. PORT_SHIFT is added to every port;
# targets listen on ports from 20000+PORT_SHIFT, which must stay below 32768.

ZONES=(split-a zadar-b sibenik-c)
CONTROL_MEMBERS=3
declare -A PIDS=()
export PORT_SHIFT=${PORT_SHIFT:-0}

shift_ports() { # copies settings from stdin to stdout, adding PORT_SHIFT to every port
  perl -pe 's/(127\.0\.0\.1:|"firstPort": )(\d+)/$1 . ($2 + $ENV{PORT_SHIFT})/ge'
}

shifted_copy() { # FILE: copies FILE with shifted ports and prints the path of the copy
  local copy=$FOLDER/shifted-${1##*/}
  shift_ports <"$1" >"$copy"
  echo "$copy"
}

caller_address() { # N
  echo "127.0.0.1:$((8100 + $1 + PORT_SHIFT))"
}

entries() { # prints the caller addresses of all instances, separated by commas; every instance is an entry
  local n list=
  for n in $(seq $INSTANCES); do list+=,$(caller_address "$n"); done
  echo "${list#,}"
}

goroutines() { # prints the number of goroutines of each instance
  local n counts=
  for n in $(seq "$INSTANCES"); do
    counts+=" $(curl -fsS "http://$(caller_address "$n")/metrics" | sed -n 's/^go_goroutines //p')"
  done
  echo "goroutines:$counts"
}

write_settings() { # N INSTANCES
  # Only members of the control group have a data folder.
  local zone=${ZONES[$((($1 - 1) % 3))]} drop='^$'
  [ "$1" -le $CONTROL_MEMBERS ] || drop='"dataFolder"'
  grep -v "$drop" "${TEMPLATE:-config/demo/instance.jsonc}" |
    sed "s|@N@|$1|g; s|@ZONE@|$zone|g; s|@FOLDER@|$FOLDER|g" |
    shift_ports >"$FOLDER/e$1.jsonc"
}

prepare_fleet() { # INSTANCES
  rm -rf "$FOLDER"
  mkdir -p "$FOLDER/data"
  bin/radishturn keys init "$FOLDER/keys"
  local n
  for n in $(seq "$1"); do
    bin/radishturn keys issue "$FOLDER/keys" "e$n"
    write_settings "$n"
  done
  bin/radishturn keys issue --for-operator "$FOLDER/keys" operator
  export RADISHTURN_ADMIN=127.0.0.1:$((9101 + PORT_SHIFT)),127.0.0.1:$((9102 + PORT_SHIFT))
  export RADISHTURN_KEYS=$FOLDER/keys RADISHTURN_OPERATOR=operator
}

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$FOLDER/$name.log" 2>&1 &
  PIDS[$name]=$!
}

start_instance() { # N
  start "e$1" bin/radishturnd -config "$FOLDER/e$1.jsonc"
}

start_standin() { # SETTINGS
  start standin bin/radishturn-standin --config "$(shifted_copy "$1")"
}

wait_ready() { # N
  for _ in $(seq 150); do
    curl -fsS -o /dev/null "http://$(caller_address "$1")/readyz" 2>/dev/null && return
    sleep 0.1
  done
  echo "instance e$1 did not become ready; its log ends:" >&2
  tail -5 "$FOLDER/e$1.log" >&2
  return 1
}

stop() { # NAME
  local status=0
  kill -TERM "${PIDS[$1]}" 2>/dev/null || true
  wait "${PIDS[$1]}" || status=$?
  unset "PIDS[$1]"
  [ $status -eq 0 ] || echo "$1 ended with status $status" >&2
  return $status
}

stop_all() {
  local name status=0
  for name in "${!PIDS[@]}"; do
    kill -TERM "${PIDS[$name]}" 2>/dev/null || true
  done
  for name in "${!PIDS[@]}"; do
    wait "${PIDS[$name]}" || { echo "$name ended with a failure" >&2; status=1; }
  done
  PIDS=()
  return $status
}
