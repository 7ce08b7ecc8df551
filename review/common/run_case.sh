#!/usr/bin/env bash
# Runs the script of a case from the repository's root: run_case.sh FOLDER.
set -euo pipefail
case_dir=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
if [ ! -d target/deps ] || ! . review/common/paths.sh; then
  echo "run deploy/build and review/build.sh first" >&2
  exit 2
fi
# The stand-ins use threads, which gevent runs as greenlets.
exec timeout --signal=TERM --kill-after=5 115 \
  python3 -m gevent.monkey "$case_dir/case.py"
