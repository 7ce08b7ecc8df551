#!/usr/bin/env bash
# Runs the case, without its disruption if TROUBLE is 0, and writes record.txt.
here=$(cd "$(dirname "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}"
export RECORD="$here/record.txt"
exec bash "$here/../common-2/run_case.sh" "$here"
