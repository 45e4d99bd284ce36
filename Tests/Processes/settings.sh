#!/usr/bin/env bash
# Bad settings and command lines: one line for each fault with file, key path,
# what was found and what is allowed, and exit code 2; a taken address: 1.
set -euo pipefail
BIN=$1
RUN=$(mktemp -d)
trap 'rm -rf "$RUN"' EXIT
fail() { echo "FAILED: $*" >&2; exit 1; }

good() {
  cat <<'JSON'
{ // Settings of a scheduler.
  "common": { "name": "s", "dataCentre": "a", "peerAddress": "127.0.0.1:7001",
    "metricsAddress": "127.0.0.1:7002", "storeAddresses": ["127.0.0.1:7003"],
    "instanceListAddress": "127.0.0.1:7004", "peerToken": "t" },
  "configAddresses": ["127.0.0.1:7005"] }
JSON
}

# expect CODE TEXT SED: the settings, changed by SED, give the code and text.
expect() {
  good | sed "$3" >"$RUN/settings.json"
  local code=0 out
  out=$("$BIN/verbenacroft-scheduler" --settings "$RUN/settings.json" \
    --check-settings 2>&1) || code=$?
  [ "$code" = "$1" ] || fail "'$3' gave $code: $out"
  case "$out" in *"$2"*) ;; *) fail "'$3' does not say '$2': $out" ;; esac
}

expect 0 "" ""
expect 2 '$.common.nam: found unknown key' 's/"name"/"nam"/'
expect 2 '$.common.name: found 5' 's/"name": "s"/"name": 5/'
expect 2 '$.common.peerAddress: found "localhost:7001"' 's/127.0.0.1:7001/localhost:7001/'
expect 2 '$.common.metricsAddress: found the address of $.common.peerAddress' 's/7002/7001/'
expect 2 '$.common.storeAddresses[0]: found "127.0.0.1"' 's/127.0.0.1:7003/127.0.0.1/'
expect 2 '$.configAddresses: found none' 's/\["127.0.0.1:7005"\]/[]/'
expect 2 'settings.json: line ' 's/"peerToken"/peerToken/'
expect 2 '$.common.storeCallsPerSecond: found' 's/"peerToken"/"storeCallsPerSecond": 2, "peerToken"/'
for program in verbenacroft-router verbenacroft-scheduler verbenacroft-config \
  verbenactl verbenacroft-burn; do
  "$BIN/$program" --version | grep -q "$program 0" || fail "$program --version"
  "$BIN/$program" --help | grep -qi usage || fail "$program --help"
  code=0
  "$BIN/$program" --no-such-option >/dev/null 2>&1 || code=$?
  [ "$code" = 2 ] || fail "$program --no-such-option gave $code"
done
port=$("$BIN/vcFreePorts" 1)
good | sed "s/7001/$port/" >"$RUN/settings.json"
"$BIN/verbenacroft-scheduler" --settings "$RUN/settings.json" >/dev/null 2>&1 &
pid=$!
for _ in $(seq 50); do
  curl -s -m 1 "http://127.0.0.1:$port/" >/dev/null && break
  sleep 0.1
done
code=0
out=$("$BIN/verbenacroft-scheduler" --settings "$RUN/settings.json" 2>&1) || code=$?
kill -TERM "$pid"
wait "$pid" || true
[ "$code" = 1 ] || fail "a taken address gave $code"
case "$out" in *"can't listen on 127.0.0.1:$port"*) ;; *) fail "$out" ;; esac
echo "ok"
