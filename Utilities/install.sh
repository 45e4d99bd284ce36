#!/usr/bin/env bash
# Installs what a fresh Debian machine lacks for the build and the tests.
set -euo pipefail
packages=(cmake ninja-build g++ clang-format clang-tidy curl
  libboost1.81-dev libboost-json1.81-dev prometheus-cpp-dev libcxxopts-dev
  libspdlog-dev libfmt-dev catch2 liblua5.4-dev libxxhash-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  sudo=""
  [ "$(id -u)" = 0 ] || sudo="sudo"
  $sudo apt-get update -qq
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}"
fi
