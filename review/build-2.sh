#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q peridotdock extras/soak tests/standins review/lib2 review/[6-9]
if [ -d review/10 ]; then python3 -m compileall -q review/10; fi
PYTHONPATH=".:target/deps" python3 -c "
import extras.soak.ports, tests.standins.runner, tests.standins.tables
import review.lib2.caller, review.lib2.hosts, review.lib2.record"
