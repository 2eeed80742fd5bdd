#!/bin/sh
# Builds the stand-ins of the scripts: plain Python of the standard library, compiled.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib 1 2 3 4 5 >/dev/null
