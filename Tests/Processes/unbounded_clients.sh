#!/usr/bin/env bash
# Clients that ignore limits, against a process with little memory and few
# descriptors: unbounded_clients.sh BIN KIND ADDRESS [PROGRAM [MEMORY_MB
# DESCRIPTORS CLIENTS]]. The process lives, stays within its memory and
# descriptors, and answers an ordinary request, both while the clients are
# connected and afterwards. What the kernel holds for its connections counts as
# memory. No time is checked.
set -euo pipefail
BIN=$1
KIND=$2
ADDRESS=$3
PROGRAM=${4:-node}
RUN=$(mktemp -d)
MEMORY_MB=${5:-64}
DESCRIPTORS=${6:-256}
REQUEST_PATH=/
RETURN=()
STORE=

# Clients of each kind, and the bytes that each of them sends.
case $KIND in
  trailers | chunk-extension | header) CLIENTS=4 BYTES=32000000 ;;
  almost-whole) CLIENTS=200 BYTES=1000000 ;;
  small-chunks) CLIENTS=200 BYTES=6000000 ;;
  large-chunks) CLIENTS=40 BYTES=8000000 ;;
  announced) CLIENTS=200 BYTES=1000000 ;;
  connections) CLIENTS=400 BYTES=0 ;;
  # Requests without end on each connection, whose responses aren't read.
  pipelined)
    CLIENTS=1000 BYTES=100000000 DESCRIPTORS=${6:-2048} RETURN=(--return) ;;
  # Large responses that aren't read.
  scrapes)
    CLIENTS=1000 BYTES=100000000 DESCRIPTORS=${6:-2048} RETURN=(--return)
    REQUEST_PATH=/metrics ;;
  # Clients that are cut off and come back at once.
  returning)
    CLIENTS=1000 BYTES=200000 DESCRIPTORS=${6:-2048} RETURN=(--return) ;;
  # Complete requests inside the limits, while the store works or is silent.
  whole | waiting)
    CLIENTS=400 BYTES=250000 DESCRIPTORS=${6:-1024} RETURN=(--return)
    REQUEST_PATH=/jobs/0123456789abcdef STORE=1 ;;
  # The same, complete with the first read.
  waiting-small)
    CLIENTS=1000 BYTES=15000 DESCRIPTORS=${6:-2048} RETURN=(--return)
    REQUEST_PATH=/jobs/0123456789abcdef STORE=1 ;;
  *) echo "unknown kind $KIND" >&2; exit 2 ;;
esac
CLIENTS=${7:-$CLIENTS}
case $KIND in
  scrapes) SENT_KIND=pipelined ;;
  returning) SENT_KIND=almost-whole ;;
  waiting*) SENT_KIND=whole ;;
  *) SENT_KIND=$KIND ;;
esac

fail() { echo "FAILED: $*" >&2; exit 1; }

await() { # await COMMAND...: until it succeeds
  for _ in $(seq 1 300); do
    if "$@"; then return; fi
    sleep 0.1
  done
  fail "no success: $*"
}

. "$(dirname "$0")/servers.sh"

stop() {
  code=$?
  exec 9>&- || true
  stop_servers
  wait 2>/dev/null || true
  [ $code = 0 ] || tail -n 5 "$RUN"/*.log
  rm -rf "$RUN"
  exit $code
}
trap stop EXIT

has_sent() { grep -q sent "$RUN/clients.log"; }

# An ordinary request gets an answer, and the same one each time. With a store,
# the answer depends on what the store said last.
STATUS=
answers() {
  local status
  [ -z "$STORE" ] || STATUS=
  status=$(curl -s -m 20 -o /dev/null -w '%{http_code}' \
    "http://127.0.0.1:${PORTS[$ADDRESS]}/" || true)
  STATUS=${STATUS:-$status}
  [ "$status" != 000 ] && [ "$status" = "$STATUS" ]
}

# A job of BYTES, filled up with spaces or, if it is small, with a name that the
# node has to keep.
write_job() {
  if [ "$KIND" = waiting-small ]; then
    sed "s/\"count\"/\"image\": \"$(printf "%$((BYTES - 200))s" | tr ' ' i)\", &/" \
      "$DOCUMENTS/job.json"
  else
    printf "%-${BYTES}s" "$(cat "$DOCUMENTS/job.json")"
  fi
}

# A request inside the limits is carried out.
accepts_job() {
  [ "$(curl -s -m 20 -o /dev/null -w '%{http_code}' -X POST -H 'Host: h' \
    --data-binary @"$RUN/job.json" \
    "http://127.0.0.1:${PORTS[callers]}$REQUEST_PATH" || true)" = 200 ]
}

# Bytes that the kernel holds for the process's connections: received and not
# yet read, or written and not yet received.
kernel_bytes() {
  local ports
  ports=$(printf ':%04X\n' "${PORTS[@]}" | paste -sd '|')
  awk -v ports="$ports" '
    function number(text,   i, value) {
      for (i = 1; i <= length(text); i++)
        value = value * 16 + index("0123456789ABCDEF", substr(text, i, 1)) - 1
      return value
    }
    $4 != "0A" && $2 ~ "(" ports ")$" {
      split($5, queues, ":")
      bytes += number(queues[1]) + number(queues[2])
    }
    END { printf "%d\n", bytes }' /proc/net/tcp
}

KERNEL_PEAK=0
sample() {
  local bytes
  bytes=$(kernel_bytes)
  [ "$bytes" -le "$KERNEL_PEAK" ] || KERNEL_PEAK=$bytes
}

check() { # check WHEN
  kill -0 "$SERVER_PID" 2>/dev/null || fail "the process has ended $1"
  local peak open
  open=$(ls "/proc/$SERVER_PID/fd" | wc -l)
  [ "$open" -lt "$DESCRIPTORS" ] || fail "$open descriptors are open $1"
  sample
  answers || fail "no answer to an ordinary request $1"
  peak=$(awk '$1 == "VmHWM:" { print $2 }' "/proc/$SERVER_PID/status")
  echo "$KIND $ADDRESS $PROGRAM $1: peak of $((peak / 1000)) MB," \
    "$((KERNEL_PEAK / 1000000)) MB held by the kernel"
  [ $((peak * 1024 + KERNEL_PEAK)) -lt $((MEMORY_MB * 1000000)) ] ||
    fail "$((peak / 1000)) and $((KERNEL_PEAK / 1000000)) MB of $MEMORY_MB at the peak $1"
}

start_server "$PROGRAM" $STORE
if [ -n "$STORE" ]; then
  write_job >"$RUN/job.json"
  await accepts_job
fi
check "before"
[[ "$KIND" != waiting* ]] || silence_store
mkfifo "$RUN/stay"
"$BIN/vcUnboundedClients" "${PORTS[$ADDRESS]}" "$SENT_KIND" "$CLIENTS" \
  "$BYTES" --path "$REQUEST_PATH" --document "$RUN/job.json" "${RETURN[@]}" \
  <"$RUN/stay" >"$RUN/clients.log" 2>&1 &
CLIENTS_PID=$!
exec 9>"$RUN/stay"
for _ in $(seq 1 600); do
  sample
  if has_sent; then break; fi
  sleep 0.1
done
has_sent || fail "the clients haven't sent all"
check "beside them"
exec 9>&-
wait "$CLIENTS_PID" || true
check "afterwards"
echo "ok"
