#!/usr/bin/env bash
# Builds the stand-ins of the scripts: byte-compiles them, the project's own
# too, below target/review, and checks that they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."

PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q \
  review/common packages/dotterelgrade-standins/src
. review/common/paths.sh
python3 -c 'import crashing_prompts, deployment, engines, plain_servers, sheet'
