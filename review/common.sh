# Plays one case of the stand-in against the nodes of the deploy file. Sourced
# by the run.sh of a case with the name of the case and its folder. Exits with
# the result of the case: 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run.
set -u

play() { # play CASE FOLDER
  local case=$1 folder root tmp standin nodes=() pid code=2
  folder=$(cd "$2" && pwd)
  root=$(cd "$folder/../.." && pwd)
  tmp=$(mktemp -d)
  cd "$root" || exit 2
  [ -x review/bin/standin ] && [ -x "${NODE:-target/bin/verbenacroft-node}" ] || exit 2
  review/bin/standin "$case" "$tmp" "$folder/record.txt" &
  standin=$!
  for _ in $(seq 100); do
    [ -e "$tmp/nodes" ] && break
    sleep 0.05
  done
  if [ -e "$tmp/nodes" ]; then
    local name zone front ready peer metrics store hold stop
    while read -r name zone front ready peer metrics store hold stop; do
      render >"$tmp/$name.json"
      keep_running "$tmp" "$name" &
      nodes+=($!)
    done <"$tmp/nodes"
    ( sleep 115; kill "$standin" 2>/dev/null ) >/dev/null 2>&1 &
    local watchdog=$!
    wait "$standin"
    code=$?
    pkill_children "$watchdog"
  else
    kill "$standin" 2>/dev/null
  fi
  for pid in "${nodes[@]}"; do
    kill -KILL "$pid" 2>/dev/null
  done
  for pid in $(cat "$tmp"/*.pid 2>/dev/null); do
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  if [ -n "${KEEP_LOGS:-}" ]; then
    mkdir -p "$KEEP_LOGS" && cp "$tmp"/* "$KEEP_LOGS"/
  fi
  rm -rf "$tmp"
  [ "$code" -le 1 ] || code=2
  exit "$code"
}

# Runs a node, and starts it again 3 s after its end, as the platform does.
# It stays down while FOLDER/NAME.down exists.
keep_running() { # keep_running FOLDER NAME
  while true; do
    if [ ! -e "$1/$2.down" ]; then
      "${NODE:-target/bin/verbenacroft-node}" --settings "$1/$2.json" \
        >>"$1/$2.log" 2>&1 &
      echo $! >"$1/$2.pid"
      wait $!
      rm -f "$1/$2.pid"
    fi
    sleep 3
  done
}

# Ends the watchdog and its sleep.
pkill_children() {
  local child
  for child in $(cat "/proc/$1/task/$1/children" 2>/dev/null); do
    kill "$child" 2>/dev/null
  done
  kill "$1" 2>/dev/null
}

# The settings of a node: deploy/node.json.in as the platform fills it in.
render() {
  sed -e "s/{{node_name|json}}/\"$name\"/" \
    -e "s/{{zone|json}}/\"$zone\"/" \
    -e "s/{{listen.front|json}}/\"127.0.0.1:$front\"/" \
    -e "s/{{listen.ready|json}}/\"127.0.0.1:$ready\"/" \
    -e "s/{{ip|json}}/\"127.0.0.1\"/" \
    -e "s/{{internal_port_range|json}}/[$peer,$metrics]/" \
    -e "s/{{platform.address|json}}/\"$store\"/" \
    -e "s/{{limits.cpu_share}}/0.25/" \
    -e "s/{{limits.link_mbps}}/1000.0/" \
    -e "s/{{platform.min_ttl_ms}}/1000/" \
    -e "s/{{bounds.max_hold_ms}}/$hold/" \
    -e "s/{{bounds.stop_timeout_ms}}/$stop/" \
    -e "s/{{bounds.harm_ms}}/4000/" \
    -e "s/{{bounds.status_s}}/120/" \
    -e "s/{{bounds.grace_s}}/6/" deploy/node.json.in
}
