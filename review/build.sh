#!/bin/sh
# Builds what the scripts of the cases start beside the nodes: all stand-ins are Python programs, so
# this only compiles them, the project's own too. The nodes come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/standins/*.py standins/platform/*.py standins/backend/*.py
for each in review/[123]/*.py; do
    [ ! -e "$each" ] || python3 -m py_compile "$each"
done
