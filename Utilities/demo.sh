#!/usr/bin/env bash
# Installs, builds, and shows both example deployments at work.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/build.sh
BIN=$PWD/build/bin

say() { printf '\n== %s\n' "$*"; }

# show NAME PROGRAM SERVICE BACKER DATA_CENTRE...
show() {
  local name=$1 example=$2 service=$3 backer=$4
  shift 4
  DATA_CENTRES=("$@")
  ENTRIES=(3 2 2)
  RUN=$(mktemp -d)
  . Utilities/deployment.sh
  trap 'kill_deployment; rm -rf "$RUN"' EXIT

  say "$name: three data centres, seven entry instances, 24 workers"
  start_deployment
  await 10 is_ready "$1" 0 config

  say "$name: an operator's program prints the configuration; apply it"
  "$BIN/$example" >"$RUN/configuration.json"
  ctl check "$RUN/configuration.json"
  ctl --wait apply "$RUN/configuration.json"
  await 15 answers "$1" 0 "/s/$service/hello"

  say "$name: a caller's request"
  request "$1" 0 "/s/$service/hello"
  echo

  say "$name: a batch job, submitted twice, run once"
  cat >"$RUN/job.json" <<JSON
{ "name": "evening-run", "backer": "$backer", "tasks": 6, "runMs": 1500,
  "resources": { "milliCpu": 4000, "memoryMb": 4096 } }
JSON
  ctl job submit "$RUN/job.json"
  ctl job submit "$RUN/job.json"
  await 20 job_is evening-run done
  ctl job show evening-run

  say "$name: drain $1 while requests go on"
  ctl drain "$1"
  request "$1" 0 "/s/$service/while-drained"
  echo
  say "$name: restore $1"
  ctl restore "$1"
  await 15 grep_services "$1"
  ctl status

  say "$name: service-level burn"
  local routers=() dc
  for dc in "$@"; do
    routers+=(--router "127.0.0.1:${PORTS[$dc-0-router-metrics]}")
  done
  "$BIN/verbenacroft-burn" "${routers[@]}"

  say "$name: every process ends on SIGTERM"
  local violations
  violations=$(report | grep -o '"violations":\[[^]]*\]' || true)
  [ -z "$violations" ] || { echo "broken promises: $violations"; exit 1; }
  stop_deployment
  rm -rf "$RUN"
  trap - EXIT
}

grep_services() { # services run again in the data centre
  ctl --json status | grep -q "\"dataCentre\":\"$1\".*\"serviceTasks\":[1-9]"
}

show "Trust" vcTrustExample tally field-crews north middle south
show "Consortium" vcConsortiumExample master-check house-verde \
  leon celaya irapuato
echo
echo "demo: ok"
