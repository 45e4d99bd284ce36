#!/usr/bin/env bash
# lint.sh format: checks the formatting. lint.sh tidy: runs the linter.
set -euo pipefail
cd "$(dirname "$0")/.."
case "${1:-}" in
  format)
    git ls-files '*.h' '*.cxx' | xargs clang-format --dry-run -Werror
    echo "format: ok"
    ;;
  tidy)
    [ -f build/compile_commands.json ] || cmake --preset default >/dev/null
    git ls-files '*.cxx' | grep -v '^Tests/Unit/' |
      xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet \
        --extra-arg=-Wno-unknown-warning-option
    echo "tidy: ok"
    ;;
  *)
    echo "usage: lint.sh format|tidy" >&2
    exit 2
    ;;
esac
