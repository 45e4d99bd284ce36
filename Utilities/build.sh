#!/usr/bin/env bash
# Installs what is missing and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/install.sh
cmake --preset default >/dev/null
cmake --build --preset default
