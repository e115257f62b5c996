#!/usr/bin/env bash
# The stand-ins of the scripts are Python modules and need no build. This checks that
# they, and what the build of the deploy file made, can be loaded.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.:..:../platform:../target/deps \
    python3 -c "import rig.world, soak.world"
