#!/usr/bin/env bash
# Router's added latency against the same load sent straight to the stand-in,
# its throughput on one core, and the memory of the programs.
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$PWD/build/bin
RUN=$(mktemp -d)
DATA_CENTRES=(north)
ENTRIES=(1)
. Utilities/deployment.sh
trap 'kill_deployment; rm -rf "$RUN"' EXIT
start_deployment
await 10 is_ready north 0 config
cat >"$RUN/configuration.json" <<JSON
{ "backers": [{ "name": "one", "sharePercent": 100 }],
  "dataCentres": [{ "name": "north", "region": "r", "shards": 1, "routers": 1 }],
  "services": [{ "name": "web", "backer": "one", "dataCentres": ["north"],
    "replicas": 8,
    "resources": { "milliCpu": 1000, "memoryMb": 1000, "slots": 8 } }] }
JSON
ctl --wait apply "$RUN/configuration.json"
await 15 answers north 0 /s/web/x
sleep 2
resident() { awk '/VmRSS/ { printf "%.1f MB", $2 / 1024 }' "/proc/${PIDS[$1]}/status"; }
echo "idle: router $(resident north-0-router), scheduler $(resident north-0-scheduler), config $(resident north-0-config)"
task=$(request north 0 /s/web/x | sed 's/.*"task":"\([^"]*\)".*/\1/')
number=${task##*/}
# The stand-in answers on the service port of the worker that runs the task.
direct=$(curl -s "http://127.0.0.1:${PORTS[north-0-scheduler-peer]}/v1/targets" \
  -X POST -H "Verbenacroft-Token: $PEER_TOKEN" -H "Verbenacroft-Protocol: 1" \
  -d '{}' | grep -o "\"task\":\"$task\"[^}]*" |
  sed 's/.*"address":"\([^"]*\)".*/\1/')
router="127.0.0.1:${PORTS[north-0-caller]}"
cores=$(nproc)
load() { "$BIN/vcLoad" "$@"; }
if [ "$cores" -ge 4 ]; then
  # The router has core 1 to itself; nothing else is measured.
  for key in "${!PIDS[@]}"; do taskset -pc "2-$((cores - 2))" "${PIDS[$key]}" >/dev/null; done
  taskset -pc 1 "${PIDS[north-0-router]}" >/dev/null
  load() { taskset -c "$((cores - 1))" "$BIN/vcLoad" "$@"; }
fi
for round in 1 2 3; do
  echo "direct 3000/s: $(load --address "$direct" --path /x \
    --header "Verbenacroft-Task=$task" --rate 3000 --seconds 5)"
  echo "router 3000/s: $(load --address "$router" --path /s/web/x \
    --rate 3000 --seconds 5)"
done
for round in 1 2 3; do
  echo "router flat out: $(load --address "$router" --path /s/web/x \
    --seconds 5 --connections 48)"
done
echo "loaded: router $(resident north-0-router), scheduler $(resident north-0-scheduler), config $(resident north-0-config)"
