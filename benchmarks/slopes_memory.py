"""Memory of one instance's state, by `tracemalloc`, and of its process.

`tracemalloc` counts what Python allocates for the state; the resident size of a
process without work is measured apart and comes on top.
"""

import gc
import subprocess
import sys
import tracemalloc
from collections.abc import Callable
from pathlib import Path

from benchmarks.core_bench import CoreBench, service_settings
from benchmarks.slope_fits import Point, Slope, make_slope, register_measurement
from benchmarks.slopes_control import named_document
from benchmarks.slopes_core import RUNNERS, TEAMS
from sassafrasloft.settings import parse_document

MEGABYTE = 1e6
IMPORTS = (
    "import re, pathlib, sassafrasloft.entry.program;"
    "print(re.search(r'VmRSS:\\s+(\\d+)',"
    " pathlib.Path('/proc/self/status').read_text())[1])"
)


def allocated_mb(make: Callable[[], object]) -> float:
    """Return the megabytes that Python holds for what a call returns."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    held = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return (after - before) / MEGABYTE


def _instance(instances: int, runners: int, teams: int) -> CoreBench:
    return CoreBench(service_settings(instances, runners, teams))


@register_measurement("memory_of_tables")
def memory_of_tables() -> list[Slope]:
    """Measure settings and tables by runners, teams and peers."""
    runners = [
        Point(n, allocated_mb(lambda: _instance(8, n, 8)))  # noqa: B023 - called at once
        for n in RUNNERS
    ]
    teams = [
        Point(n, allocated_mb(lambda: _instance(8, 24, n)))  # noqa: B023 - called at once
        for n in TEAMS
    ]
    peers = [
        Point(n, allocated_mb(lambda: _instance(n + 1, 24, 8)))  # noqa: B023 - called at once
        for n in (7, 23, 71, 143)
    ]
    return [
        make_slope("memory_mb_by_runners", "runners", "MB", "8 teams", runners),
        make_slope("memory_mb_by_teams", "teams", "MB", "24 runners", teams),
        make_slope("memory_mb_by_peers", "peers", "MB", "24 runners", peers),
    ]


def _with_jobs(jobs: int) -> CoreBench:
    bench = _instance(8, 24, 8)
    for place in range(jobs):
        bench.submit(f"team-{place % 8}", 40)
    return bench


def _with_answers(jobs: int) -> CoreBench:
    bench = _instance(8, 24, 8)
    for place in range(jobs):
        bench.submit(f"team-{place % 8}", 10)
        bench.complete_all()
    return bench


@register_measurement("memory_of_jobs")
def memory_of_jobs() -> list[Slope]:
    """Measure unfinished jobs of 40 tasks and kept answers of 10 outcomes."""
    jobs = [Point(n, allocated_mb(lambda: _with_jobs(n))) for n in (50, 200, 1_000)]  # noqa: B023 - called at once
    answers = [Point(n, allocated_mb(lambda: _with_answers(n))) for n in (50, 200, 800)]  # noqa: B023 - called at once
    return [
        make_slope("memory_mb_by_jobs", "jobs", "MB", "40 tasks a job", jobs),
        make_slope("memory_mb_by_answers", "answers", "MB", "10 tasks a job", answers),
    ]


def _peak_mb(text: str) -> float:
    gc.collect()
    tracemalloc.start()
    parse_document(text, "zone-a").unwrap()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak / MEGABYTE


@register_measurement("memory_of_parsing")
def memory_of_parsing() -> list[Slope]:
    """Measure the peak while a settings document is checked, by runners."""
    found = [Point(n, _peak_mb(named_document(n, 230))) for n in (24, 384, 2_600)]
    name = "parse_peak_mb_by_runners"
    return [make_slope(name, "runners", "MB", "230 teams, each runner named", found)]


def resident_mb() -> float:
    """Return the resident size of a process that imported the entry instance."""
    found = subprocess.run(
        [sys.executable, "-c", IMPORTS],
        capture_output=True,
        check=True,
        text=True,
        timeout=30,
        cwd=Path(__file__).parents[1],
    )
    return int(found.stdout) * 1024 / MEGABYTE
