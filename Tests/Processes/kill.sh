#!/usr/bin/env bash
# SIGKILL of the scheduler, the router and the config process under work:
# another scheduler takes over, the job is done once, requests go on.
. "$(dirname "$0")/common.sh"
bring_up
job first 6 4000
for key in north-0-scheduler north-0-config north-1-router; do
  kill -KILL "${PIDS[$key]}"
done
for i in $(seq 20); do
  code=$(request north 0 "/s/tally/$i" -o /dev/null -w '%{http_code}')
  [ "$code" = 200 ] || fail "request $i answered $code after the kills"
done
start north-0-scheduler verbenacroft-scheduler
start north-0-config verbenacroft-config
start north-1-router verbenacroft-router
job second 4 1000
await 40 job_is first "done"
await 40 job_is second "done"
[ "$(completions first)" = 6 ] || fail "completions of first: $(completions first)"
[ "$(completions second)" = 4 ] || fail "completions of second: $(completions second)"
finish
