#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, after the build of the deploy file: they are
# Python, so it is checked that they and what they need can be loaded. Needs no network.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import standins.platform
import review.kit2.clients
import review.kit2.engines
import review.kit2.processes
CHECK
