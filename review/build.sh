#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra standin/platform.cc standin/cases.cc \
  -o bin/standin -lboost_json -pthread
