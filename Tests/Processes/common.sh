# Start and checks of a process-level scenario; sourced with the programs'
# directory as the first argument of the script.
set -euo pipefail
BIN=$1
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
RUN=$(mktemp -d)
DATA_CENTRES=(north middle south)
ENTRIES=(2 1 1)
WORKERS=8
. "$ROOT/Utilities/deployment.sh"
trap 'code=$?; [ $code = 0 ] || tail -n 5 "$RUN"/*.log; kill_deployment; rm -rf "$RUN"; exit $code' EXIT

fail() { echo "FAILED: $*" >&2; exit 1; }

bring_up() {
  start_deployment
  await 10 is_ready north 0 config
  "$BIN/vcTrustExample" | sed 's/"routers":3/"routers":2/' >"$RUN/configuration.json"
  ctl --wait apply "$RUN/configuration.json"
  local dc
  for dc in "${DATA_CENTRES[@]}"; do
    await 15 answers "$dc" 0 /s/tally/x
  done
}

job() { # job NAME TASKS RUN_MS
  cat >"$RUN/$1.job" <<JSON
{ "name": "$1", "backer": "field-crews", "tasks": $2, "runMs": $3,
  "resources": { "milliCpu": 2000, "memoryMb": 2048 } }
JSON
  # By its name a submission may be repeated until it is answered.
  await 20 ctl job submit "$RUN/$1.job"
}

no_violations() {
  ! report | grep -q '"violations"'
}

completions() { # completions JOB: sum over its tasks
  report | grep -o "\"$1/[0-9]*\":[0-9]*" | awk -F: '{ n += $2 } END { print n + 0 }'
}

# executions: the highest number of executions of one request's body
executions() {
  report | sed 's/.*"executions":{\([^}]*\)}.*/\1/' | tr ',' '\n' |
    awk -F: '{ if ($NF + 0 > n) n = $NF + 0 } END { print n + 0 }'
}

grep_drained() { ctl get | grep -q '"isDrained":true'; }

in_flight() { # in_flight ENTRY: the router holds requests
  [ "$(curl -s -m 2 "http://127.0.0.1:${PORTS[$1-router-metrics]}/metrics" |
    awk '$1 == "verbenacroft_requests_in_flight" { print $2 }')" -ge 8 ]
}

finish() {
  await 5 no_violations || fail "$(report)"
  stop_deployment
  echo "ok"
}
