#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they need Python alone.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common2 6 7 8
