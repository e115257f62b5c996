#!/bin/sh
# Builds what the scripts of the third review start, after the build of the deploy file.
# The stand-ins are Python sources of this repository, which need no further build; it
# is checked that they compile and find the built dependencies. Works without a network.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:platform:. PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
from pathlib import Path

import soak.world  # noqa: F401

for path in (
    "review/11/rig.py",
    *map(str, sorted(Path("review").glob("1[1-5]/case.py"))),
):
    compile(Path(path).read_text(), path, "exec")
END
