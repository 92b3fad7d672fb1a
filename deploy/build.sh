#!/bin/sh
# Puts what a node needs under target/deps: its libraries, and the package compiled, since the
# machines run it from a tree that they can't write to.
set -eu
deps=target/deps
if [ ! -e $deps/.complete ] || [ deploy/requirements.txt -nt $deps/.complete ]; then
    python3 -m pip install -q -U --target $deps -r deploy/requirements.txt
    python3 -m compileall -q $deps || true
    touch $deps/.complete
fi
rm -rf $deps/marjoramtide
cp -r src/marjoramtide $deps/
python3 -m compileall -q $deps/marjoramtide
