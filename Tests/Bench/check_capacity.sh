#!/usr/bin/env bash
# Runs vcCapacityBench (given as the first argument) and checks that each
# figure of docs/CAPACITY.md agrees with what its slopes give now, within the
# uncertainty that the page states, and that lines over a limit are marked.
set -euo pipefail
cd "$(dirname "$0")/../.."
rows=$(mktemp)
trap 'rm -f "$rows"' EXIT
"$1" | awk -f Tests/Bench/capacity.awk >"$rows"
awk -F'|' '
  FNR == NR { split($0, f, " "); now[f[1]] = f[2]; limit[f[1]] = f[4]; next }
  /^\| `/ {
    key = $2; gsub(/[` ]/, "", key)
    if (!(key in now)) next
    value = $3 + 0; factor = $6 + 0; seen[key] = 1
    if (now[key] > value * factor || now[key] < value / factor) {
      print "FAILED " key ": page " value ", now " now[key] ", factor " factor
      bad = 1
    }
    over = limit[key] != "-" && value > limit[key] + 0
    if (over != ($7 ~ /OVER/)) {
      print "FAILED " key ": OVER is marked wrongly"; bad = 1
    }
  }
  END {
    for (key in now) if (!(key in seen)) { print "FAILED " key ": not on the page"; bad = 1 }
    exit bad
  }' "$rows" docs/CAPACITY.md
echo "capacity: ok"
