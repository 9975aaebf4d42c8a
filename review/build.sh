#!/usr/bin/env bash
# Builds the stand-ins of the cases: the project's own in lab/, and those under review/.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q lab review
