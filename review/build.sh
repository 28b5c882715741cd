#!/bin/sh
# Builds what the scripts start: stand-ins in Python, of this folder and of the project. The program
# itself is built by the deploy file; its build is made here only where that was not done before.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    sh -c "$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')"
fi
python3 -m compileall -q review standins egretstack
PYTHONPATH="target/deps:." python3 -c "import review.harness"
