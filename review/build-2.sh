#!/bin/sh
# Checks that the stand-ins of cases 6 to 9 can be loaded; they need no build of their
# own. They use the libraries that the build of the deploy file leaves in target/deps,
# and the proxy of platform/soak.
cd "$(dirname "$0")/6" || exit 1
PYTHONDONTWRITEBYTECODE=1 exec python3 rig.py
