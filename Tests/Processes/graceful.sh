#!/usr/bin/env bash
# Every program ends on SIGTERM under load, one by one: exit code 0, no
# request cut, no task lost, another scheduler takes over within 6 s.
. "$(dirname "$0")/common.sh"
bring_up
job first 6 6000
for i in $(seq 4); do
  (
    for n in $(seq 25); do
      request north 0 "/s/tally/slow?ms=40" -o /dev/null -w '%{http_code}\n'
    done
  ) >"$RUN/load.$i" &
  loads[i]=$!
done
for key in north-1-scheduler north-1-config north-0-scheduler north-0-config; do
  code=0
  stop "$key" || code=$?
  [ "$code" = 0 ] || fail "$key ended with $code"
  start "$key" "verbenacroft-${key##*-}"
done
for i in $(seq 4); do wait "${loads[i]}"; done
[ "$(cat "$RUN"/load.* | sort -u)" = 200 ] ||
  fail "answers under restarts: $(cat "$RUN"/load.* | sort | uniq -c | tr '\n' ' ')"
# A router that is stopped finishes the requests that it holds.
for i in $(seq 8); do
  request north 1 "/s/tally/held?ms=700" -o /dev/null -w '%{http_code}\n' \
    >"$RUN/held.$i" &
  held[i]=$!
done
await 5 in_flight north-1
code=0
stop north-1-router || code=$?
[ "$code" = 0 ] || fail "the router ended with $code"
for i in $(seq 8); do wait "${held[i]}"; done
[ "$(cat "$RUN"/held.* | sort -u)" = 200 ] ||
  fail "held requests: $(cat "$RUN"/held.* | sort | uniq -c | tr '\n' ' ')"
start north-1-router verbenacroft-router
await 30 job_is first "done"
[ "$(completions first)" = 6 ] || fail "completions: $(completions first)"
lost=$(curl -s "http://127.0.0.1:${PORTS[north-0-scheduler-metrics]}/metrics" |
  awk '/^verbenacroft_tasks_lost_total/ { n += $2 } END { print n + 0 }')
[ "$lost" = 0 ] || fail "$lost tasks lost"
finish
