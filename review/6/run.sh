#!/usr/bin/env bash
# A sound job is shown as failed since the worker that ran it crashed twice.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../common-2.sh"
run_case "$folder" failed-by-crashes
