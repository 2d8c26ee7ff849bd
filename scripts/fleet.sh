# Functions that start and stop a fleet on loopback; sourced by the other scripts.
# FOLDER is where keys, settings, logs and data go.

ZONES=(split-a zadar-b sibenik-c)
CONTROL_MEMBERS=3
declare -A PIDS=()

write_settings() { # N INSTANCES
  local zone=${ZONES[$((($1 - 1) % 3))]} drop='^$'
  [ "$1" -le $CONTROL_MEMBERS ] || drop='"dataFolder"'
  grep -v "$drop" "${TEMPLATE:-config/demo/instance.jsonc}" |
    sed "s|@N@|$1|g; s|@ZONE@|$zone|g; s|@FOLDER@|$FOLDER|g" >"$FOLDER/e$1.jsonc"
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
  export RADISHTURN_ADMIN=127.0.0.1:9101,127.0.0.1:9102
  export RADISHTURN_KEYS=$FOLDER/keys RADISHTURN_OPERATOR=operator
}

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$FOLDER/$name.out" 2>>"$FOLDER/$name.log" &
  PIDS[$name]=$!
}

start_instance() { # N
  start "e$1" bin/radishturnd -config "$FOLDER/e$1.jsonc"
}

start_standin() { # SETTINGS
  start standin bin/radishturn-standin --config "$1"
}

wait_ready() { # N
  for _ in $(seq 150); do
    curl -fsS -o /dev/null "http://127.0.0.1:810$1/readyz" 2>/dev/null && return
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
