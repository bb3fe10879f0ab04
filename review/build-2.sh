#!/bin/sh
# Builds the stand-ins of the second review: Python of the standard library alone, so byte code is all.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/stands review/6 review/7 review/8 review/9 review/10
