#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: Python of the standard library, so it only compiles.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib ./*/case.py
