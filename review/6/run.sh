#!/usr/bin/env bash
# A task that failed is never started again, since one order got no answer.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../common-2.sh"
run_case "$folder" unanswered-retry
