#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the gateways: their stand-ins
# and those of conformance/. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/review:$PWD/target/deps"
export PYTHONPYCACHEPREFIX="$PWD/target/review-2"
python3 -m compileall -q conformance review
python3 -c "import readers_2, rig_2, streams_2"
