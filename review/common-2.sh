# Runs a case of the second review with the deploy file's program; to be
# sourced with the folder and the name of the case.
set -uo pipefail

# run_case FOLDER NAME: exits with the verdict of the case.
run_case() {
  local folder=$1 name=$2 root run code
  root=$(cd "$folder/../.." && pwd)
  local node="$root/target/bin/verbenacroft-node"
  local stage="$root/review/bin/vcStage"
  if [ ! -x "$node" ] || [ ! -x "$stage" ]; then
    echo "build the deploy file and review/build-2.sh first" >&2
    exit 2
  fi
  run=$(mktemp -d)
  trap 'rm -rf "$run"' EXIT
  # The stage ends all processes that it has started; the time limit is for a
  # stage that hangs.
  timeout -k 5 110 "$stage" "$name" "$node" "$run" "$folder/record.txt" \
    "${TROUBLE:-1}"
  code=$?
  [ "$code" -le 1 ] || code=2
  exit "$code"
}
