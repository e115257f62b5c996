"""What one scheduler's decisions cost as the load rises, by a ramp.

Usage: python -m benchmarks.scheduler_load [--rates=300,600,1200] [--profile]

A fleet of decision cores runs in one event queue: 31 instances and 176 runners. The
processor time of the scheduler's steps is measured; its edges are not part of it.
"""

import json
from cProfile import Profile
from pathlib import Path
from pstats import SortKey, Stats
from random import Random
from time import process_time

import attrs
from absl import app, flags

from sassafrasloft.blackboard import Command, DecisionCore, Event
from sassafrasloft.clock import Milliseconds
from sassafrasloft.gateway import AnswerKind
from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.command_execution import HOST, SERVICE, Instance
from sassafrasloft.testing.fleet.world import FleetWorld, simple_job
from sassafrasloft.workload import Route

ZONES = {"north": 11, "south": 10, "west": 10}
RUNNERS = 59
"""In each zone."""
SETTLED_MS = 1_500
STEP_MS = 5
RESULTS = Path(__file__).parent / "results" / "scheduler_load.json"
DEADLINE_MS = 1_500
FUNCTIONS = 25

_RATES = flags.DEFINE_list("rates", ["300", "600", "1200"], "Jobs a second.")
_SECONDS = flags.DEFINE_float("seconds", 4.0, "Length of the load at each rate.")
_PROFILE = flags.DEFINE_bool("profile", False, "Print where the time goes.")
_WRITE = flags.DEFINE_bool("write", False, f"Write {RESULTS.name}.")


@attrs.frozen
class JobKind:
    """One kind of job: its share, width, demand and duration."""

    route: Route
    share: float
    tasks: int
    millicores: int
    duration_ms: int


KINDS = (
    JobKind(
        Route("lookup", HOST, "/lookup/", SERVICE, 0, 4, 1.6, 60, 1_500),
        0.245,
        8,
        16_000,
        60,
    ),
    JobKind(
        Route("order", HOST, "/order/", SERVICE, 2, 3, 1.6, 60, 1_500),
        0.045,
        4,
        16_000,
        900,
    ),
    JobKind(
        Route("confirm", HOST, "/confirm/", SERVICE, 1, 2, 1.6, 60, 1_500),
        0.71,
        2,
        16_000,
        200,
    ),
)


@attrs.frozen
class LoadResult:
    """What one rate cost.

    Parameters
    ----------
    cores : float
        Processor seconds of the scheduler's decisions a second of load.
    ms_a_job : float
        The same for each job that was handed in.
    completed, in_time : float
        Shares of the jobs handed in.
    """

    jobs_a_second: int
    cores: float
    ms_a_job: float
    completed: float
    in_time: float


class MeasuredCore(DecisionCore):
    """A core that measures the processor time of its steps."""

    used_s: float
    profile: Profile | None

    def step(self, event: Event, now: Milliseconds) -> list[Command]:
        """Take a step and note its time."""
        began = process_time()
        if self.profile is not None:
            self.profile.enable()
        try:
            return super().step(event, now)
        finally:
            if self.profile is not None:
                self.profile.disable()
            self.used_s += process_time() - began


def settled_fleet(seed: int) -> FleetWorld:
    """Return a fleet with a scheduler and a configuration in force."""
    world = FleetWorld(ZONES, RUNNERS, seed)
    world.configure(1, tuple(kind.route for kind in KINDS))
    world.run(SETTLED_MS)
    return world


def scheduler(world: FleetWorld) -> Instance:
    """Return the instance that schedules."""
    return next(
        one
        for one in world.instances.values()
        if one.core.board.leadership.role is Role.SCHEDULING
    )


def run_load(rate: int, seconds: float, profile: Profile | None) -> LoadResult:
    """Hand in jobs at a rate and measure what their scheduling takes."""
    random = Random(rate)
    world = settled_fleet(rate)
    core = scheduler(world).core
    core.__class__ = MeasuredCore
    core.used_s = 0.0
    core.profile = profile
    names = sorted(world.instances)
    jobs = []
    for step in range(int(seconds * 1_000 / STEP_MS)):
        due = int(rate * (step + 1) * STEP_MS / 1_000)
        while len(jobs) < due:
            kind = random.choices(KINDS, [one.share for one in KINDS])[0]
            size = max(1, round(random.gauss(1.0, 0.3) * kind.tasks))
            duration = max(5, round(random.gauss(1.0, 0.3) * kind.duration_ms))
            millicores = round(random.uniform(0.7, 1.4) * kind.millicores)
            job = simple_job(len(jobs) + 1, size, millicores, duration)
            jobs.append(
                world.submit(job, kind.route, random.choice(names), DEADLINE_MS)
            )
        world.run(STEP_MS)
    used = core.used_s
    world.run(DEADLINE_MS)
    complete = [
        one for one in jobs if one.answer and one.answer.kind is AnswerKind.COMPLETED
    ]
    in_time = [
        one
        for one in complete
        if one.waited_ms <= one.route.objective_ms(one.job.critical_path_ms())
    ]
    return LoadResult(
        rate,
        round(used / seconds, 3),
        round(1_000 * used / len(jobs), 3),
        round(len(complete) / len(jobs), 3),
        round(len(in_time) / len(jobs), 3),
    )


def main(_: list[str]) -> None:
    """Run the ramp."""
    results = []
    for rate in map(int, _RATES.value):
        profile = Profile() if _PROFILE.value else None
        result = run_load(rate, _SECONDS.value, profile)
        results.append(attrs.asdict(result))
        print(json.dumps(attrs.asdict(result)), flush=True)
        if profile is not None:
            Stats(profile).sort_stats(SortKey.TIME).print_stats(FUNCTIONS)
    if _WRITE.value:
        RESULTS.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    app.run(main)
