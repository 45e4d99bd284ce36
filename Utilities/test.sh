#!/usr/bin/env bash
# Installs, builds and runs every test; ends with ctest's own summary.
# KNOWN-RED.txt names tests that fail for a fault not yet mended; they are
# printed and passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/build.sh
exclude=()
if [ -s KNOWN-RED.txt ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  names=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|')
  [ -z "$names" ] || exclude=(-E "^(${names})\$")
fi
ctest --preset default -j 4 "${exclude[@]}"
