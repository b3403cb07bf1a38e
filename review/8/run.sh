#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD:$PWD/review:$PWD/target/deps"
export PYTHONPYCACHEPREFIX="$PWD/target/review-2"
exec python3 review/8/case.py
