"""Plays fault days of many seeds.

Usage: python -m sassafrasloft.testing.fleet.fault_hunt --first=0 --count=100

Prints a line for each seed on which a promise was broken, with its faults; the exit
code is then 1.
"""

import sys
import time

from absl import app, flags

from sassafrasloft.testing.fleet import day_faults  # noqa: F401
from sassafrasloft.testing.fleet.fault_days import SEEN_SHARE, FaultDay

_FIRST = flags.DEFINE_integer("first", 0, "The first seed.")
_COUNT = flags.DEFINE_integer("count", 100, "The number of seeds.")
_FAULTS = flags.DEFINE_list("faults", [], "Names of faults to draw from; else all.")
_SEEN = flags.DEFINE_float(
    "seen", SEEN_SHARE, "Share of callers' broken connections that instances see."
)


def main(_: list[str]) -> int:
    """Play all seeds."""
    began = time.monotonic()
    failed = []
    for seed in range(_FIRST.value, _FIRST.value + _COUNT.value):
        day = FaultDay(seed, tuple(_FAULTS.value), _SEEN.value)
        try:
            day.play()
        except Exception as error:
            # Any error of a day is a finding; the other seeds go on.
            failed.append(seed)
            print(f"seed {seed}: {type(error).__name__}: {error}")
            for at, text in day.notes:
                print(f"  {at} {text}")
            sys.stdout.flush()
    duration = time.monotonic() - began
    print(f"{_COUNT.value} seeds in {duration:.0f} s, failed: {failed}")
    return 1 if failed else 0


def run() -> None:
    """Run the program."""
    app.run(main)


if __name__ == "__main__":
    run()
