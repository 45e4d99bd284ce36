#!/usr/bin/env bash
# upgrade.sh NEW_BIN OLD_BIN: a rolling upgrade and the way back. Programs of
# two builds run side by side, take over each other's shards and read what the
# other build has stored. Run by hand before a release; ctest has one build only.
OLD_BIN=${2:?usage: upgrade.sh NEW_BIN OLD_BIN}
. "$(dirname "$0")/common.sh"
NEW_BIN=$BIN
BIN=$OLD_BIN

# replace KEY BUILD_DIRECTORY: ends a process and starts it from another build.
replace() {
  local code=0
  stop "$1" || code=$?
  [ "$code" = 0 ] || fail "$1 ended with $code"
  BIN=$2
  start "$1" "verbenacroft-${1##*-}"
}

# check_requests NAME: requests through every router, plain ones and ones with
# an idempotency key that is sent twice, through different routers.
check_requests() {
  local entry dc key first second
  for entry in north-0 north-1 middle-0 south-0; do
    dc=${entry%-*}
    code=$(request "$dc" "${entry##*-}" "/s/tally/$1" -o /dev/null -w '%{http_code}')
    [ "$code" = 200 ] || fail "$1: request through $entry answered $code"
  done
  key="$1-key"
  first=$(request north 0 /s/tally/record -H "Idempotency-Key: $key" -d "$key" \
    -o /dev/null -w '%{http_code}')
  second=$(request north 1 /s/tally/record -H "Idempotency-Key: $key" -d "$key" \
    -o /dev/null -w '%{http_code}')
  [ "$first $second" = "200 200" ] || fail "$1: with a key: $first $second"
  [ "$(executions)" = 1 ] || fail "$1: a request with a key ran $(executions) times"
}

# check_job NAME: the job is done, each of its 6 tasks once.
check_job() {
  await 40 job_is "$1" "done"
  [ "$(completions "$1")" = 6 ] || fail "completions of $1: $(completions "$1")"
}

bring_up
check_requests all-old
job old-done 6 500
check_job old-done
job old-running 6 8000

# Half of the processes are new, beside old ones.
for key in north-0-scheduler north-1-config north-1-router middle-0-scheduler; do
  replace "$key" "$NEW_BIN"
done
job mixed 6 500
check_requests mixed
ctl drain south
ctl restore south
await 15 answers south 0 /s/tally/x
check_job mixed

# All processes are new, on what the old ones stored.
for key in north-1-scheduler north-0-config north-0-router middle-0-config \
  middle-0-router south-0-scheduler south-0-config south-0-router; do
  replace "$key" "$NEW_BIN"
done
await 10 is_ready north 0 config
await 10 is_ready south 0 config
await 15 answers south 0 /s/tally/x
check_requests all-new
check_job old-running
ctl job show old-done | grep -q ": done," || fail "old-done is forgotten"
cp "$RUN/configuration.json" "$RUN/before.json"
ctl diff "$RUN/before.json" >"$RUN/diff" || fail "diff: $(cat "$RUN/diff")"
job new-running 6 6000

# Back to the old build, on what the new one stored.
for key in north-0-scheduler north-1-scheduler middle-0-scheduler \
  north-0-config north-1-router; do
  replace "$key" "$OLD_BIN"
done
await 15 answers middle 0 /s/tally/x
check_requests back
check_job new-running
lost=0
for entry in north-0 north-1 middle-0 south-0; do
  n=$(curl -s "http://127.0.0.1:${PORTS[$entry-scheduler-metrics]}/metrics" |
    awk '/^verbenacroft_(tasks_lost|refused_messages)_total/ { n += $2 } END { print n + 0 }')
  lost=$((lost + n))
done
[ "$lost" = 0 ] || fail "$lost tasks lost or messages refused"
finish
