#!/bin/sh
# The stand-ins of review/11 to review/15 are the modules in review/common3.
# They need Python's own library alone; this compiles them.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common3 1[1-5]
