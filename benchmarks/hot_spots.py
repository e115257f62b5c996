"""Where the decision core spends its time at today's size, by cProfile.

Usage: python -m benchmarks.hot_spots (writes benchmarks/results/hot_spots.json)

The same run is made several times and the least time of each function counts,
since pauses of the machine and of garbage collection fall on any function.
"""

import json
import sys
from cProfile import Profile
from pathlib import Path
from pstats import Stats
from random import Random

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import Blackboard, Command, DecisionCore, Event
from sassafrasloft.testing import Workload, draw_jobs, make_settings
from sassafrasloft.testing.network import Network
from sassafrasloft.testing.services import DEPLOYMENTS, make_core
from sassafrasloft.testing.world import World

LOAD = 0.7
SECONDS = 20
START_MS = 3_000.0
SHOWN = 12
RUNS = 4
RESULTS = Path(__file__).parent / "results" / "hot_spots.json"
PACKAGE = Path(__file__).parents[1]


@attrs.frozen
class HotSpot:
    """One function and its part of the core's time.

    Parameters
    ----------
    own_share, whole_share : float
        Time in the function itself, and with what it calls, of all time.
    """

    function: str
    calls_per_task: float
    own_share: float
    whole_share: float


class ProfiledCore(DecisionCore):
    """A core that profiles its steps and nothing else of the world."""

    profile: Profile

    def step(self, event: Event, now: Milliseconds) -> list[Command]:
        """Take a step under the profiler."""
        self.profile.enable()
        try:
            return super().step(event, now)
        finally:
            self.profile.disable()


@attrs.define
class Times:
    """The least times of one function over the runs, in seconds."""

    calls: int
    own: float
    whole: float


def hot_spots() -> list[HotSpot]:
    """Return the functions with the most own time, largest first.

    8 instances and 24 runners serve jobs at 70% load for `SECONDS`.
    """
    least: dict[str, Times] = {}
    for _ in range(RUNS):
        tasks = _profile_once(least)
    total = sum(times.own for times in least.values())
    spots = [
        HotSpot(
            function,
            round(times.calls / tasks, 2),
            round(times.own / total, 4),
            round(min(1.0, times.whole / total), 4),
        )
        for function, times in least.items()
    ]
    return sorted(spots, key=lambda spot: -spot.own_share)[:SHOWN]


def _profile_once(least: dict[str, Times]) -> int:
    """Lower the times by one run, and return its number of tasks."""
    profile = Profile()

    def make_profiled(board: Blackboard) -> DecisionCore:
        profiled = ProfiledCore(board, make_core(board)._controllers)
        profiled.profile = profile
        return profiled

    settings = make_settings(DEPLOYMENTS["tsagaan-mod"])
    world = World(settings, Network(Random(1)), 1, make_profiled)
    world.start()
    _submit(world)
    world.queue.run_until(START_MS + SECONDS * 1_000)
    found: dict[str, Times] = {}
    for (file, _, name), (_, calls, own, whole, _) in Stats(profile).stats.items():
        times = found.setdefault(_label(file, name), Times(0, 0.0, 0.0))
        times.calls += calls
        times.own += own
        times.whole += whole
    for function, times in found.items():
        known = least.setdefault(function, times)
        known.own = min(known.own, times.own)
        known.whole = min(known.whole, times.whole)
    return max(1, world.ground_truth.finished_tasks)


def _label(file: str, name: str) -> str:
    if file == "~":
        return name
    path = Path(file)
    place = path.relative_to(PACKAGE) if path.is_relative_to(PACKAGE) else path.name
    return f"{place}: {name}".removeprefix("sassafrasloft/")


def _submit(world: World) -> None:
    slots = sum(runner.slots for runner in world.settings.runners)
    for job in draw_jobs(Workload(load=LOAD), slots, SECONDS * 1_000.0, Random(1)):
        begin_ms = START_MS + job.arrival_ms
        world.queue.at(begin_ms, lambda job=job: world.callers.submit_planned_job(job))


def main() -> int:
    """Profile, print and write."""
    spots = hot_spots()
    for spot in spots:
        print(f"{spot.own_share:6.1%} {spot.whole_share:6.1%}  {spot.function}")
    text = json.dumps([attrs.asdict(spot) for spot in spots], indent=1)
    RESULTS.write_text(f"{text}\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
