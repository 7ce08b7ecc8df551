#!/usr/bin/env bash
# Runs the case in the folder that is given. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
case_folder=$(cd "$1" && pwd)
cd "$case_folder/../.."
if [ ! -d target/review-2 ]; then
  echo "run review/build-2.sh first" >&2
  exit 2
fi
export PYTHONPATH=target/review-2:target/deps
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$case_folder/case.py"
