#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -e ../../target/review-2/cluster.py ] || exit 2
[ -e ../../target/deps/marjoramtide ] || exit 2
exec python3 run.py
