#!/bin/sh
# Compiles the stand-ins that the scripts of review/11 to review/15 start.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib3
