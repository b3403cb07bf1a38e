#!/usr/bin/env bash
# Compiles the stand-ins that the scripts start. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
