#!/usr/bin/env bash
# Runs the case and writes record.txt; TROUBLE=0 leaves the disruption out.
exec bash "$(dirname "$0")/../common/run_case.sh" "$(dirname "$0")"
