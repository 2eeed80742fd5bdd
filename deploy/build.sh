#!/bin/sh
# Installs what the daemon imports, and compiles it, so that a start costs little.
set -eu
if [ ! target/deps -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --disable-pip-version-check --target target/deps -r deploy/requirements.txt
    touch target/deps
fi
python3 -m compileall -q target/deps knapweedlead >/dev/null
