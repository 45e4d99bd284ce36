#!/usr/bin/env bash
# A job's write is carried out late, after its client has cancelled the job.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../common-2.sh"
run_case "$folder" cancel-before-late-write
