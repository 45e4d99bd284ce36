#!/usr/bin/env bash
# Requests are passed on to another data centre: while hedges hold the slots
# that later requests need, and from a data centre without targets while the
# store is down. Every one is answered, and a refusal says not-run.
. "$(dirname "$0")/common.sh"
# North has no schedulers, so it has no targets.
start_entry() {
  start "$1-config" verbenacroft-config
  case $1 in
    north-*) ;;
    *) start "$1-scheduler" verbenacroft-scheduler ;;
  esac
  start "$1-router" verbenacroft-router
}
targets() { # targets DATACENTRE: how many its router knows
  curl -s -m 2 "http://127.0.0.1:${PORTS[$1-0-router-metrics]}/metrics" |
    awk '$1 == "verbenacroft_targets" { print $2 }'
}
counter() { # counter DATACENTRE NAME
  curl -s -m 2 "http://127.0.0.1:${PORTS[$1-0-router-metrics]}/metrics" |
    awk -v name="verbenacroft_$2_total" '$1 == name { print $2 }'
}
all_known() { [ "$(targets middle)" = 9 ] && [ "$(targets south)" = 9 ]; }
bring_up
await 15 all_known
[ "$(targets north)" = 0 ] || fail "north has targets"
# As many requests as the router has slots. They begin so far apart that the
# first are sent twice before the last begin.
for i in $(seq 8); do
  request middle 0 "/s/tally/spread?ms=700" -o /dev/null -w '%{http_code}\n' \
    >"$RUN/spread.$i" &
  spread[i]=$!
  sleep 0.025
done
for i in $(seq 8); do wait "${spread[i]}"; done
[ "$(counter middle hedges)" -gt 0 ] || fail "no request was sent twice"
[ "$(cat "$RUN"/spread.* | sort -u)" = 200 ] ||
  fail "spread requests: $(cat "$RUN"/spread.* | sort | uniq -c | tr '\n' ' ')"
# In the first seconds of the outage the leases still hold, so the claims of
# the keys wait for the store. Several keys, since each has another owner.
platform '{"store":{"isDown":true}}' >/dev/null
for i in $(seq 6); do
  request north 0 /s/tickets/file -X POST -d "forward-$i" \
    -H "Idempotency-Key: forward-$i" -o "$RUN/body.$i" -D "$RUN/head.$i" &
  keyed[i]=$!
done
for i in $(seq 6); do wait "${keyed[i]}"; done
for i in $(seq 6); do
  outcome=$(tr -d '\r' <"$RUN/head.$i" |
    awk 'tolower($1) == "verbenacroft-outcome:" { print $2 }')
  [ "$outcome" = not-run ] ||
    fail "keyed request $i was answered '$outcome': $(cat "$RUN/body.$i")"
  if report | grep -q "\"forward-$i\":"; then fail "forward-$i ran"; fi
done
platform '{"store":{}}' >/dev/null
finish
