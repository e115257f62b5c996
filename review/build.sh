#!/usr/bin/env bash
# The stand-ins of the scripts are Python modules of the standard library: nothing is
# built. This checks that they and the build of the deploy file can be loaded.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.:../target/deps python3 -c "import rig.world, httptools, msgpack"
