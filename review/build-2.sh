#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the fronts: the project's
# stand-ins and those of this review. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ ! -d target/deps ]; then
  echo "run the build of deploy/system.toml first" >&2
  exit 2
fi
rm -rf target/review-2
mkdir -p target/review-2
cp -r packages/dotterelgrade-standins/src/dotterelgrade_standins \
  target/review-2/
cp review/common-2/*.py target/review-2/
python3 -m compileall -q target/review-2
PYTHONPATH=target/review-2:target/deps python3 -c \
  'import callers, deployment, workers'
