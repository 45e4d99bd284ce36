# Starts one of the system's programs alone, with few descriptors, on loopback
# addresses; to be sourced. Variables: BIN (programs), RUN (a directory for
# settings and logs), MEMORY_MB, DESCRIPTORS. Sets PORTS (by the name of the
# address), SERVER_PID and STORE_PID.

SERVER_PID=
STORE_PID=
DOCUMENTS=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)/platform/StandIns
declare -A PORTS

# start_server PROGRAM [WITH_STORE]: node, router, scheduler or config.
start_server() {
  mapfile -t free < <("$BIN/vcFreePorts" 6)
  PORTS=([callers]=${free[0]} [ready]=${free[1]} [peers]=${free[2]}
    [metrics]=${free[3]} [store]=${free[4]} [operators]=${free[5]})
  [ -z "${2:-}" ] || start_store
  "write_$1"
  (
    ulimit -n "$DESCRIPTORS"
    exec "$BIN/verbenacroft-$1" --settings "$RUN/settings.json" \
      --memory-mb "$MEMORY_MB"
  ) >"$RUN/server.log" 2>&1 &
  SERVER_PID=$!
  await grep -qE 'process.start|started ' "$RUN/server.log"
}

# A store with one queue, whose jobs are below /jobs/, and one worker.
start_store() {
  "$BIN/vcSiteStoreStandIn" --address "127.0.0.1:${PORTS[store]}" \
    --config "$DOCUMENTS/queue.json" --worker "$DOCUMENTS/worker.json" \
    >"$RUN/store.log" 2>&1 &
  STORE_PID=$!
  await grep -q listening "$RUN/store.log"
}

# The store accepts calls from now on and never answers them.
silence_store() {
  kill -USR1 "$STORE_PID"
  await grep -q silent "$RUN/store.log"
}

write_node() {
  cat >"$RUN/settings.json" <<JSON
{ "name": "n", "dataCentre": "a",
  "callerAddress": "127.0.0.1:${PORTS[callers]}",
  "readyAddress": "127.0.0.1:${PORTS[ready]}",
  "internalIp": "127.0.0.1",
  "internalPorts": [${PORTS[peers]}, ${PORTS[metrics]}],
  "storeAddress": "127.0.0.1:${PORTS[store]}" }
JSON
}

# write_common MEMBERS: settings that the other three programs have in common,
# and their own.
write_common() {
  cat >"$RUN/settings.json" <<JSON
{ "common": { "name": "n", "dataCentre": "a", "peerToken": "t",
    "peerAddress": "127.0.0.1:${PORTS[peers]}",
    "metricsAddress": "127.0.0.1:${PORTS[metrics]}",
    "storeAddresses": ["127.0.0.1:${PORTS[store]}"],
    "instanceListAddress": "127.0.0.1:${PORTS[store]}" },
  $1
  "configAddresses": ["127.0.0.1:${PORTS[store]}"] }
JSON
}

write_router() {
  write_common "\"callerAddress\": \"127.0.0.1:${PORTS[callers]}\","
}

write_scheduler() { write_common ""; }

write_config() {
  write_common "\"operatorAddress\": \"127.0.0.1:${PORTS[operators]}\",
  \"operatorToken\": \"t\","
}

# stop_servers: ends the processes that start_server started.
stop_servers() {
  local pid
  for pid in $SERVER_PID $STORE_PID; do
    kill -KILL "$pid" 2>/dev/null || true
  done
}
