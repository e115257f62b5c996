"""Runs the fault scenarios of many seeds.

Usage: python -m sassafrasloft.testing.fleet.fault_hunt --first=0 --count=100

Prints a line for each seed on which a guarantee was violated, followed by the faults
of its scenario. The exit code is then 1.
"""

import sys
import time

from absl import app, flags

from sassafrasloft.testing.fleet import scenario_faults  # noqa: F401
from sassafrasloft.testing.fleet.fault_scenarios import (
    DETECTED_DISCONNECT_SHARE,
    FaultScenario,
    all_faults,
)

_FIRST = flags.DEFINE_integer("first", 0, "The first seed.")
_COUNT = flags.DEFINE_integer("count", 100, "The number of seeds.")
_FAULTS = flags.DEFINE_list(
    "faults",
    [],
    "Names of faults to draw from, or 'all'; if empty, those drawn by default.",
)
_SEEN = flags.DEFINE_float(
    "seen",
    DETECTED_DISCONNECT_SHARE,
    "Share of callers' broken connections that instances see.",
)


def main(_: list[str]) -> int:
    """Run the scenarios of all seeds and return the exit code."""
    faults = all_faults() if _FAULTS.value == ["all"] else tuple(_FAULTS.value)
    began = time.monotonic()
    failed = []
    for seed in range(_FIRST.value, _FIRST.value + _COUNT.value):
        scenario = FaultScenario(seed, faults, _SEEN.value)
        try:
            scenario.run()
        except Exception as error:
            # Any error of a scenario is a finding; the other seeds still run.
            failed.append(seed)
            print(f"seed {seed}: {type(error).__name__}: {error}")
            for at, text in scenario.events:
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
