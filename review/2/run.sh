#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] && [ -e target/gateway.code ] || exit 2
timeout -s INT -k 5 114 python3 review/2/run.py
status=$?
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
