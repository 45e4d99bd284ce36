# Plays one case of the stand-in against the nodes of the deploy file. Sourced
# by the run.sh of a case. Exits with the result of the case: 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. KEEP_LOGS=FOLDER keeps the
# nodes' settings and logs.
set -u

play() { # play CASE FOLDER
  local case=$1 folder root tmp standin code=2 loops=()
  folder=$(cd "$2" && pwd)
  root=$(cd "$folder/../.." && pwd)
  tmp=$(mktemp -d)
  cd "$root" || exit 2
  [ -x review/bin/standin ] && [ -x target/bin/verbenacroft-node ] || exit 2
  timeout 115 review/bin/standin "$case" "$tmp" "$folder/record.txt" &
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
      loops+=($!)
    done <"$tmp/nodes"
    wait "$standin"
    code=$?
  else
    kill "$standin" 2>/dev/null
  fi
  touch "$tmp/stop"
  while [ -n "$(jobs -r -p)" ]; do
    for pid in $(cat "$tmp"/*.pid 2>/dev/null); do
      kill -KILL "$pid" 2>/dev/null
    done
    sleep 0.1
  done
  if [ -n "${KEEP_LOGS:-}" ]; then
    mkdir -p "$KEEP_LOGS" && cp "$tmp"/*.json "$tmp"/*.log "$KEEP_LOGS"/
  fi
  rm -rf "$tmp"
  [ "$code" -le 1 ] || code=2
  exit "$code"
}

# Runs a node, and starts it again 3 s after its end, as the platform does,
# until FOLDER/stop exists. It stays down while FOLDER/NAME.down exists.
keep_running() { # keep_running FOLDER NAME
  while [ ! -e "$1/stop" ]; do
    if [ ! -e "$1/$2.down" ]; then
      target/bin/verbenacroft-node --settings "$1/$2.json" \
        >>"$1/$2.log" 2>&1 &
      echo $! >"$1/$2.pid"
      wait $!
      rm -f "$1/$2.pid"
    fi
    for _ in $(seq 30); do
      [ -e "$1/stop" ] && return
      sleep 0.1
    done
  done
} 2>/dev/null

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
