#!/bin/sh
# The stand-ins of the scripts need Python 3.11 alone; this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile common/standins.py */case.py
