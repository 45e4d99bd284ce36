#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -pthread standin-2/*.cxx -lboost_json \
  -o bin/vcStage
echo "built review/bin/vcStage"
