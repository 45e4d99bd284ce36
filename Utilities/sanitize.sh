#!/usr/bin/env bash
# Builds scenarios, fleet and unit tests with the address and undefined
# behaviour sanitizers and runs them.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset sanitize >/dev/null
cmake --build --preset sanitize --target vcScenario vcUnitTests vcFleet
bin=build-sanitize/bin
"$bin/vcUnitTests"
for script in Tests/Scenarios/*.lua; do
  case "$script" in
    */common.lua) continue ;;
  esac
  echo "$script"
  "$bin/vcScenario" "$script" --seeds 1..6 --threads 6
done
"$bin/vcFleet" --seeds 1..20 --threads 6
echo "sanitize: ok"
