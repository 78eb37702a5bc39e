#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: Python of the standard library alone, nothing to fetch.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common2
