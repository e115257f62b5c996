"""Runs the script of a case; a failure of the script itself exits with 2.

An exception that nobody handles would exit with 1, which says that a rule was broken.
"""

import runpy
import sys
import traceback

COULD_NOT_RUN = 2

if __name__ == "__main__":
    try:
        runpy.run_path(sys.argv[1], run_name="__main__")
    except Exception:
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)
