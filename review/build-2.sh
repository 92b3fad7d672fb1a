#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and later start: plain Python, no libraries.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp review/standins2/*.py target/review-2/
python3 -m compileall -q target/review-2
