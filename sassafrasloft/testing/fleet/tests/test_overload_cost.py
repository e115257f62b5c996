"""Cost of scheduling decisions while more jobs arrive than runners can sustain.

The cost is measured in calls of Python functions, which is reproducible.
"""

import sys
from random import Random

import pytest

from sassafrasloft.testing.fleet.tests.situations import (
    CONFIRM,
    LOOKUP,
    ORDER,
    scheduler_of,
    settled_world,
)
from sassafrasloft.testing.fleet.world import simple_job

SECONDS = 1.5
STEP_MS = 5
MIX = ((LOOKUP, 0.25, 8, 60), (CONFIRM, 0.7, 2, 200), (ORDER, 0.05, 4, 900))
RUNNERS_PER_ZONE = 12
"""Number of runners in each of three zones."""
SUSTAINED_RATE = 100
"""Jobs per second that these runners sustain, approximately."""


class CallCounter:
    """Counts the function calls within the steps of one decision core."""

    def __init__(self, core):
        self.calls = 0
        self._step = core.step
        core.step = self._counted_step

    def _count(self, frame, event, argument):
        if event == "call":
            self.calls += 1

    def _counted_step(self, event, now):
        before = sys.getprofile()
        sys.setprofile(self._count)
        try:
            return self._step(event, now)
        finally:
            sys.setprofile(before)


def calls_per_job(rate):
    random = Random(rate)
    world = settled_world(
        {"north": 2, "south": 2, "west": 2}, RUNNERS_PER_ZONE, seed=rate
    )
    counter = CallCounter(world.instances[scheduler_of(world)].core)
    names = sorted(world.instances)
    jobs = 0
    for step in range(int(SECONDS * 1_000 / STEP_MS)):
        while jobs < rate * (step + 1) * STEP_MS / 1_000:
            jobs += 1
            route, _, tasks, work_ms = random.choices(MIX, [one[1] for one in MIX])[0]
            millicores = random.randrange(9_000, 20_000)
            job = simple_job(jobs, tasks, millicores, work_ms)
            world.submit(job, route, random.choice(names))
        world.run(STEP_MS)
    return counter.calls / jobs


@pytest.mark.parametrize("times", [3, 6])
def test_cost_per_job_is_bounded_under_overload(times):
    """Guards against work per event that grows with the number of waiting jobs.

    An overloaded scheduler sent no heartbeats in time, nor did any successor.
    """
    calm = calls_per_job(SUSTAINED_RATE // 2)
    overloaded = calls_per_job(SUSTAINED_RATE * times)
    assert overloaded <= 1.5 * calm
