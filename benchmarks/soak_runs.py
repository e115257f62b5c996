"""One seed of the randomised run, without the program around it."""

import time
from collections import Counter
from random import Random

import attrs

from sassafrasloft.errors import InvariantViolated
from sassafrasloft.jobs import Fate
from sassafrasloft.testing import FaultPlan, Workload, draw_jobs, make_world
from sassafrasloft.testing.services import DEPLOYMENTS

WARM_UP_MS = 3_000.0
"""Time for instances to find each other before the first job."""

SETTLE_MS = 400_000.0
"""Time after the last arrival within which each job must have its answer."""

MEAN_TASK_MS = 560.0
"""Mean true run time of a task of the default workload."""


@attrs.frozen
class SoakResult:
    """What one seed led to."""

    seed: int
    jobs: int
    tasks_started: int
    faults: int
    fates: dict[str, int]
    violation: str
    unanswered: int
    wall_s: float


def run_seed(
    seed: int, tasks: int, load: float, deployment: str, plan: FaultPlan | None = None
) -> SoakResult:
    """Run one seed to its end."""
    started = time.perf_counter()
    world = make_world(DEPLOYMENTS[deployment], seed)
    slots = sum(runner.slots for runner in world.settings.runners)
    duration_ms = tasks * MEAN_TASK_MS / (slots * load)
    random = Random(seed)
    workload = Workload(load=load, declared_error_factor=10.0)
    jobs = draw_jobs(workload, slots, duration_ms, random)
    faults = 0
    violation = ""
    try:
        world.start()
        world.queue.run_until(WARM_UP_MS)
        for job in jobs:
            arrival_ms = WARM_UP_MS + job.arrival_ms
            world.queue.at(
                arrival_ms, lambda job=job: world.callers.submit_planned_job(job)
            )
        plan = plan or FaultPlan()
        faults = plan.schedule(world, random, WARM_UP_MS + duration_ms)
        end_ms = WARM_UP_MS + duration_ms
        world.queue.run_until(end_ms)
        while world.callers.open_jobs and end_ms < duration_ms + SETTLE_MS:
            end_ms += 5_000
            world.queue.run_until(end_ms)
    except InvariantViolated as error:
        violation = str(error)
    ends = world.callers.ends
    fates = Counter(f"{end.fate}:{end.kind}" for end in ends)
    gave_up = sum(end.fate is Fate.RUNNING for end in ends)
    return SoakResult(
        seed=seed,
        jobs=len(jobs),
        tasks_started=len(world.ground_truth.starts),
        faults=faults,
        fates=dict(sorted(fates.items())),
        violation=violation,
        unanswered=world.callers.open_jobs + gave_up,
        wall_s=round(time.perf_counter() - started, 1),
    )


def parse_seeds(texts: list[str]) -> list[int]:
    """Return the seeds of texts such as ``3`` and ``5-9``."""
    seeds: list[int] = []
    for text in texts:
        first, _, last = text.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds
