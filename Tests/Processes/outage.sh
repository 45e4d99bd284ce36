#!/usr/bin/env bash
# The store is down, then loses answers, then one data centre is cut from it:
# requests go on, jobs are done once, an entry instance that starts meanwhile
# learns the configuration from its peers and serves.
. "$(dirname "$0")/common.sh"
bring_up
job first 4 9000
platform '{"store":{"isDown":true}}' >/dev/null
kill_one north-1-config
start north-1-config verbenacroft-config
for i in $(seq 30); do
  for dc in north middle south; do
    code=$(request "$dc" 0 "/s/tally/$i" -o /dev/null -w '%{http_code}')
    [ "$code" = 200 ] || fail "request to $dc answered $code in the outage"
  done
done
# A keyed request can't be journalled now: it is refused as not run, and no
# target has executed it.
for i in $(seq 4); do
  outcome=$(request north 0 /s/tickets/file -X POST -d "outage-$i" \
    -H "Idempotency-Key: outage-$i" -o /dev/null -D - | tr -d '\r' |
    awk 'tolower($1) == "verbenacroft-outcome:" { print $2 }')
  [ "$outcome" = not-run ] || fail "a keyed request was answered '$outcome'"
  if report | grep -q "\"outage-$i\":"; then fail "outage-$i ran"; fi
done
revision() {
  curl -s -m 2 "http://127.0.0.1:${PORTS[$1-config-metrics]}/metrics" |
    awk '$1 == "verbenacroft_config_revision" { print $2 }'
}
learned() { [ "$(revision north-1)" = "$(revision south-0)" ]; }
await 5 learned
platform '{"store":{"lostAnswers":0.3}}' >/dev/null
job second 3 500
platform '{"store":{},"cut":["middle"]}' >/dev/null
for i in $(seq 10); do
  answers middle 0 /s/tally/cut || fail "no answer in the cut-off data centre"
done
platform '{"cut":[]}' >/dev/null
await 60 job_is first "done"
await 60 job_is second "done"
[ "$(completions first)" = 4 ] || fail "completions: $(completions first)"
finish
