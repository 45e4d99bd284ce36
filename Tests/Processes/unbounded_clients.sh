#!/usr/bin/env bash
# Clients that ignore limits, against a node with little memory and few
# descriptors: unbounded_clients.sh BIN KIND ADDRESS. The node lives, stays
# within its memory and descriptors, and answers an ordinary request, both while
# the clients are connected and afterwards. No time is checked.
set -euo pipefail
BIN=$1
KIND=$2
ADDRESS=$3
RUN=$(mktemp -d)
MEMORY_MB=64
DESCRIPTORS=256
declare -A PORTS

# clients BYTES: number of clients of this kind and what each of them sends.
case $KIND in
  trailers | chunk-extension | header) CLIENTS=4 BYTES=32000000 ;;
  almost-whole) CLIENTS=200 BYTES=1000000 ;;
  small-chunks) CLIENTS=200 BYTES=6000000 ;;
  large-chunks) CLIENTS=40 BYTES=8000000 ;;
  announced) CLIENTS=200 BYTES=1000000 ;;
  connections) CLIENTS=400 BYTES=0 ;;
  *) echo "unknown kind $KIND" >&2; exit 2 ;;
esac

NODE_PID=
stop() {
  code=$?
  exec 9>&- || true
  if [ -n "$NODE_PID" ]; then kill -KILL "$NODE_PID" 2>/dev/null || true; fi
  wait 2>/dev/null || true
  [ $code = 0 ] || tail -n 5 "$RUN"/*.log
  rm -rf "$RUN"
  exit $code
}
trap stop EXIT
fail() { echo "FAILED: $*" >&2; exit 1; }

await() { # await COMMAND...: until it succeeds
  for _ in $(seq 1 300); do
    if "$@"; then return; fi
    sleep 0.1
  done
  fail "no success: $*"
}

is_listening() { grep -q 'process.start' "$RUN/node.log"; }

has_sent() { grep -q sent "$RUN/clients.log"; }

STATUS=
answers() { # an ordinary request gets an answer, and the same one each time
  local status
  status=$(curl -s -m 20 -o /dev/null -w '%{http_code}' \
    "http://127.0.0.1:${PORTS[$ADDRESS]}/" || true)
  STATUS=${STATUS:-$status}
  [ "$status" != 000 ] && [ "$status" = "$STATUS" ]
}

check() { # check WHEN
  kill -0 "$NODE_PID" 2>/dev/null || fail "the node has ended $1"
  local peak open
  open=$(ls "/proc/$NODE_PID/fd" | wc -l)
  [ "$open" -lt "$DESCRIPTORS" ] || fail "$open descriptors are open $1"
  answers || fail "no answer to an ordinary request $1"
  peak=$(awk '$1 == "VmHWM:" { print $2 }' "/proc/$NODE_PID/status")
  echo "$KIND $ADDRESS $1: peak of $((peak / 1000)) MB"
  [ $((peak * 1024)) -lt $((MEMORY_MB * 1000000)) ] ||
    fail "$((peak / 1000)) MB of $MEMORY_MB at the peak $1"
}

mapfile -t free < <("$BIN/vcFreePorts" 5)
PORTS=([callers]=${free[0]} [ready]=${free[1]} [peers]=${free[2]}
  [metrics]=${free[3]})
cat >"$RUN/settings.json" <<JSON
{ "name": "n", "dataCentre": "a",
  "callerAddress": "127.0.0.1:${PORTS[callers]}",
  "readyAddress": "127.0.0.1:${PORTS[ready]}",
  "internalIp": "127.0.0.1",
  "internalPorts": [${PORTS[peers]}, ${PORTS[metrics]}],
  "storeAddress": "127.0.0.1:${free[4]}" }
JSON
(
  ulimit -n "$DESCRIPTORS"
  exec "$BIN/verbenacroft-node" --settings "$RUN/settings.json" \
    --memory-mb "$MEMORY_MB"
) >"$RUN/node.log" 2>&1 &
NODE_PID=$!
await is_listening
check "before"
mkfifo "$RUN/stay"
"$BIN/vcUnboundedClients" "${PORTS[$ADDRESS]}" "$KIND" "$CLIENTS" "$BYTES" \
  <"$RUN/stay" >"$RUN/clients.log" 2>&1 &
CLIENTS_PID=$!
exec 9>"$RUN/stay"
for _ in $(seq 1 600); do
  if has_sent; then break; fi
  sleep 0.1
done
has_sent || fail "the clients haven't sent all"
check "beside them"
exec 9>&-
wait "$CLIENTS_PID" || true
check "afterwards"
echo "ok"
