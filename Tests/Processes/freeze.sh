#!/usr/bin/env bash
# SIGSTOP of both schedulers of a data centre past their leases, and over a
# drain; after SIGCONT nothing starts there.
. "$(dirname "$0")/common.sh"
bring_up
job first 6 3000
for key in north-0-scheduler north-1-scheduler; do
  kill -STOP "${PIDS[$key]}"
done
ctl drain north &
drain=$!
await 10 grep_drained
# Until the leases of both have ended at the store.
others_only() { ! ctl status | grep -q 'shard north'; }
await 10 others_only
await_lapse=$((SECONDS + 5))
is_past() { [ "$SECONDS" -ge "$await_lapse" ]; }
await 10 is_past
for key in north-0-scheduler north-1-scheduler; do
  kill -CONT "${PIDS[$key]}"
done
wait "$drain" || fail "the drain did not end"
report | grep -q '"north":[1-9]' && fail "tasks run in the drained data centre"
ctl restore north
await 60 job_is first "done"
[ "$(completions first)" = 6 ] || fail "completions: $(completions first)"
finish
