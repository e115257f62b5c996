"""Measures what an instance's work costs by its sizes, for docs/CAPACITY.md.

Usage: python -m benchmarks.slopes [--only=NAME,...] [--output=FILE]

Prints each slope with its residuals and writes all as JSON. A run takes about
two minutes and uses up to 4 processes on loopback. Run it on an idle machine:
processor times grow by up to half when all cores are busy.
"""

import json
import os
import platform
import subprocess
import sys
import time
from pathlib import Path

import attrs
from absl import app, flags

import benchmarks.slopes_control
import benchmarks.slopes_core
import benchmarks.slopes_live
import benchmarks.slopes_memory
import benchmarks.slopes_world  # noqa: F401 - fills the registry
from benchmarks.hot_spots import hot_spots
from benchmarks.slope_fits import Slope, measurements
from benchmarks.slope_results import COMMAND, Machine, Results
from benchmarks.slopes_memory import resident_mb

_ONLY = flags.DEFINE_list("only", [], "Measurements; all if none is given.")
_OUTPUT = flags.DEFINE_string("output", "", "JSON file for the results.")


def present_revision() -> str:
    """Return the checked-out revision, or an empty text outside a checkout."""
    command = ["git", "describe", "--always", "--dirty", "--exclude=*"]
    root = Path(__file__).parents[1]
    found = subprocess.run(command, cwd=root, capture_output=True, text=True)
    return found.stdout.strip()


def reference_ms() -> float:
    """Return the least processor time of a fixed loop of plain Python."""
    times = []
    for _ in range(5):
        begin = time.process_time()
        table: dict[int, int] = {}
        for number in range(200_000):
            table[number % 1_000] = table.get(number % 1_000, 0) + number
        times.append(time.process_time() - begin)
    return round(min(times) * 1_000, 1)


def describe_machine(load_before: float, loop_before_ms: float) -> Machine:
    """Return the size of this machine."""
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return Machine(
        os.cpu_count() or 1,
        round(pages / 1e9, 1),
        platform.machine(),
        platform.python_version(),
        round(load_before, 1),
        round(os.getloadavg()[0], 1),
        loop_before_ms,
        reference_ms(),
    )


def show(slope: Slope) -> str:
    """Return the lines that show a slope."""
    lines = [
        f"{slope.name} [{slope.unit}] = {slope.line.base:.4g} + "
        f"{slope.line.per_size:.4g} x {slope.variable}  ({slope.fixed})"
    ]
    for point, residual in zip(slope.points, slope.residuals, strict=True):
        lines.append(f"  {point.size:>8g} {point.value:>14.4f}  {residual:+8.1%}")
    return "\n".join(lines)


def main(_: list[str]) -> int:
    """Measure, print and write."""
    load_before = os.getloadavg()[0]
    loop_before_ms = reference_ms()
    began = time.monotonic()
    slopes: list[Slope] = []
    for name, measure in measurements().items():
        if _ONLY.value and name not in _ONLY.value:
            continue
        for slope in measure():
            slopes.append(slope)
            print(show(slope), flush=True)
    spots = [] if _ONLY.value else hot_spots()
    for spot in spots:
        print(f"{spot.own_share:6.1%} {spot.whole_share:6.1%}  {spot.function}")
    seconds = round(time.monotonic() - began, 1)
    machine = describe_machine(load_before, loop_before_ms)
    results = Results(
        COMMAND, present_revision(), seconds, machine, resident_mb(), slopes, spots
    )
    print(f"{seconds} s; {machine}")
    if _OUTPUT.value:
        text = json.dumps(attrs.asdict(results), indent=1)
        Path(_OUTPUT.value).write_text(f"{text}\n", encoding="utf-8")
    return 0


def run() -> None:
    """Run the program."""
    app.run(main)


if __name__ == "__main__":
    sys.exit(run())
