#!/bin/sh
# Builds the stand-ins that the scripts start: the store of tests/lib, and the
# clients and servers beside this file. The product itself is built before, by
# the command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q tests/lib tools review
