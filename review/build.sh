#!/bin/sh
# Builds what the scripts start besides the program itself: stand-ins in Python, of this folder and
# of the project. They need what the deploy file's build has put into target/deps, and nothing else.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review standins
PYTHONPATH="target/deps:." python3 -c "import review.harness"
