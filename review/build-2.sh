#!/usr/bin/env bash
# Builds what the scripts of the second review start: the project's stand-ins in lab/ and the scripts themselves.
# They need the libraries that the build of the deploy file puts into target/deps, and no others.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q flamingoshelf lab review
PYTHONPATH=target/deps:. python3 -S -c "import lab.gateway, lab.processes, lab.proxy, review.deployment_2"
