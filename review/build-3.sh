#!/bin/sh
# Builds what the scripts of the third review start, after the build of the deploy file: their
# stand-ins and the project's own are Python modules, which use the libraries in target/deps.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -S -m compileall -q flamingoshelf lab review/tools3
python3 -S -c "import review.tools3.harness, lab.gateway, lab.processes"
