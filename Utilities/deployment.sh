# Functions that start a deployment of three data centres on loopback
# addresses: the stand-in of the platform and seven entry instances with a
# router, a scheduler and a config process each. To be sourced.
#
# Variables: BIN (programs), RUN (a directory for settings and logs),
# DATA_CENTRES (three names), WORKERS (workers in each data centre).

DATA_CENTRES=(${DATA_CENTRES[@]:-north middle south})
ENTRIES=(${ENTRIES[@]:-3 2 2})
WORKERS=${WORKERS:-8}
SEED=${SEED:-1}
OPERATOR_TOKEN=operators-secret
PEER_TOKEN=peers-secret
declare -A PIDS PORTS
PORT_POOL=()

next_port() {
  PORT=${PORT_POOL[0]}
  PORT_POOL=("${PORT_POOL[@]:1}")
}

json_list() {
  local text="" item
  for item in "$@"; do text+="${text:+, }\"$item\""; done
  printf '[%s]' "$text"
}

# Reserves the ports of all processes.
plan_ports() {
  local count=$((${#DATA_CENTRES[@]} * (2 * WORKERS + 2) + 8 * 8 + 2))
  mapfile -t PORT_POOL < <("$BIN/vcFreePorts" "$count")
  next_port; PORTS[control]=$PORT
  local dc i
  for dc in "${DATA_CENTRES[@]}"; do
    next_port; PORTS[store-$dc]=$PORT
    next_port; PORTS[list-$dc]=$PORT
    local workers=()
    for ((i = 0; i < 2 * WORKERS; i++)); do
      next_port; workers+=("127.0.0.1:$PORT")
    done
    PORTS[workers-$dc]=$(json_list "${workers[@]}")
  done
  local d=0
  for dc in "${DATA_CENTRES[@]}"; do
    for ((i = 0; i < ENTRIES[d]; i++)); do
      local role
      for role in caller router-peer router-metrics scheduler-peer \
        scheduler-metrics config-peer config-metrics operator; do
        next_port; PORTS[$dc-$i-$role]=$PORT
      done
    done
    d=$((d + 1))
  done
}

write_platform() {
  local dc first=1
  {
    echo "// Settings of the platform's stand-in."
    echo "{ \"seed\": $SEED, \"controlAddress\": \"127.0.0.1:${PORTS[control]}\","
    echo "  \"dataCentres\": ["
    for dc in "${DATA_CENTRES[@]}"; do
      [ "$first" = 1 ] || echo ","
      first=0
      echo "  { \"name\": \"$dc\", \"workers\": $WORKERS,"
      echo "    \"storeAddress\": \"127.0.0.1:${PORTS[store-$dc]}\","
      echo "    \"listAddress\": \"127.0.0.1:${PORTS[list-$dc]}\","
      echo "    \"workerAddresses\": ${PORTS[workers-$dc]} }"
    done
    echo "  ] }"
  } >"$RUN/platform.json"
}

# Addresses of config processes: those of the data centre, then one of each
# other data centre.
config_addresses() {
  local dc=$1 d=0 name i list=()
  for name in "${DATA_CENTRES[@]}"; do
    for ((i = 0; i < ENTRIES[d]; i++)); do
      [ "$name" = "$dc" ] && list+=("127.0.0.1:${PORTS[$name-$i-config-peer]}")
    done
    d=$((d + 1))
  done
  for name in "${DATA_CENTRES[@]}"; do
    [ "$name" = "$dc" ] || list+=("127.0.0.1:${PORTS[$name-0-config-peer]}")
  done
  json_list "${list[@]}"
}

# common NAME DATACENTRE PEER_PORT METRICS_PORT
common() {
  cat <<JSON
  "common": {
    "name": "$1", "dataCentre": "$2",
    "peerAddress": "127.0.0.1:$3", "metricsAddress": "127.0.0.1:$4",
    "storeAddresses": ["127.0.0.1:${PORTS[store-$2]}"],
    "instanceListAddress": "127.0.0.1:${PORTS[list-$2]}",
    "peerToken": "$PEER_TOKEN" },
JSON
}

write_entry() {
  local dc=$1 i=$2 key=$1-$2
  local configs
  configs=$(config_addresses "$dc")
  {
    echo "// Settings of the router of entry instance $key."
    echo "{"
    common "$key-router" "$dc" "${PORTS[$key-router-peer]}" \
      "${PORTS[$key-router-metrics]}"
    echo "  \"callerAddress\": \"127.0.0.1:${PORTS[$key-caller]}\","
    echo "  \"routerIndex\": $i, \"configAddresses\": $configs }"
  } >"$RUN/$key-router.json"
  {
    echo "// Settings of the scheduler of entry instance $key."
    echo "{"
    common "$key-scheduler" "$dc" "${PORTS[$key-scheduler-peer]}" \
      "${PORTS[$key-scheduler-metrics]}"
    echo "  \"configAddresses\": $configs }"
  } >"$RUN/$key-scheduler.json"
  {
    echo "// Settings of the config process of entry instance $key."
    echo "{"
    common "$key-config" "$dc" "${PORTS[$key-config-peer]}" \
      "${PORTS[$key-config-metrics]}"
    echo "  \"operatorAddress\": \"127.0.0.1:${PORTS[$key-operator]}\","
    echo "  \"operatorToken\": \"$OPERATOR_TOKEN\","
    echo "  \"configAddresses\": $configs }"
  } >"$RUN/$key-config.json"
}

# start KEY PROGRAM: starts a program with its settings file.
start() {
  "$BIN/$2" --settings "$RUN/$1.json" >>"$RUN/$1.log" 2>&1 &
  PIDS[$1]=$!
}

start_entry() {
  start "$1-config" verbenacroft-config
  start "$1-scheduler" verbenacroft-scheduler
  start "$1-router" verbenacroft-router
}

start_platform() {
  "$BIN/vcPlatformStandIn" "$RUN/platform.json" >>"$RUN/platform.log" 2>&1 &
  PIDS[platform]=$!
}

# for_entries FUNCTION: calls it with the data centre and the number.
for_entries() {
  local d=0 dc i
  for dc in "${DATA_CENTRES[@]}"; do
    for ((i = 0; i < ENTRIES[d]; i++)); do "$1" "$dc" "$i"; done
    d=$((d + 1))
  done
}

start_one() { start_entry "$1-$2"; }

start_deployment() {
  plan_ports
  write_platform
  for_entries write_entry
  start_platform
  for_entries start_one
}

stop_deployment() {
  local key
  for key in "${!PIDS[@]}"; do
    [ "$key" = platform ] || kill -TERM "${PIDS[$key]}" 2>/dev/null || true
  done
  for key in "${!PIDS[@]}"; do
    [ "$key" = platform ] || wait "${PIDS[$key]}" 2>/dev/null || true
  done
  [ -z "${PIDS[platform]:-}" ] || kill -TERM "${PIDS[platform]}" 2>/dev/null || true
  wait 2>/dev/null || true
  PIDS=()
}

kill_deployment() {
  local key
  for key in "${!PIDS[@]}"; do
    kill -CONT "${PIDS[$key]}" 2>/dev/null || true
    kill -KILL "${PIDS[$key]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  PIDS=()
}

# kill_one KEY: kills one program. It has ended afterwards, so that its ports
# are free for the next process.
kill_one() {
  kill -KILL "${PIDS[$1]}"
  wait "${PIDS[$1]}" 2>/dev/null || true
  unset "PIDS[$1]"
}

# stop KEY: asks one program to end and gives its exit code.
stop() {
  kill -TERM "${PIDS[$1]}"
  local code=0
  wait "${PIDS[$1]}" || code=$?
  unset "PIDS[$1]"
  return "$code"
}

ctl() {
  local addresses=() d=0 dc i
  for dc in "${DATA_CENTRES[@]}"; do
    addresses+=(--address "127.0.0.1:${PORTS[$dc-0-operator]}")
  done
  "$BIN/verbenactl" --token "$OPERATOR_TOKEN" "${addresses[@]}" "$@"
}

platform() { # platform JSON: throws switches of the stand-in.
  curl -sf -m 5 -X POST -d "$1" "http://127.0.0.1:${PORTS[control]}/"
}

report() { curl -sf -m 5 "http://127.0.0.1:${PORTS[control]}/"; }

# await SECONDS COMMAND...: until the command succeeds.
await() {
  local end=$((SECONDS + $1 + 1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "timeout waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

is_ready() { # is_ready DATACENTRE NUMBER ROLE
  curl -sf -m 2 "http://127.0.0.1:${PORTS[$1-$2-$3-metrics]}/readyz"
}

request() { # request DATACENTRE NUMBER PATH [CURL OPTIONS]
  local key=$1-$2 path=$3
  shift 3
  curl -s -m 10 "$@" "http://127.0.0.1:${PORTS[$key-caller]}$path"
}

answers() { # answers DATACENTRE NUMBER PATH
  [ "$(request "$1" "$2" "$3" -o /dev/null -w '%{http_code}')" = 200 ]
}

job_is() { # job_is NAME STATE
  ctl job show "$1" | grep -q ": $2,"
}
