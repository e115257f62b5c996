"""More jobs than the processor of a scheduler bears."""

from functools import cache

import attrs
import pytest

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.testing.fleet.edges import TestJob
from sassafrasloft.testing.fleet.processor import WorkCosts
from sassafrasloft.testing.fleet.tests.situations import (
    CONFIRM,
    scheduler_of,
    settled_world,
)
from sassafrasloft.testing.fleet.world import simple_job

NORMAL = 100
"""Jobs a second, rather more than half of what one scheduler bears."""
OVERLOAD = 400
"""Jobs a second, more than twice what one scheduler bears."""
OVERLOAD_MS = 3_000
DEADLINE_MS = 1_500
AT_ONCE_MS = 100
"""A refusal within this leaves the caller most of its objective."""
RECOVERY_MS = 1_500
SEEDS = (1, 2)


class Load:
    """Hands in jobs at the instances in turn; callers leave at their deadlines."""

    def __init__(self, world):
        self.world = world
        self.names = list(world.instances)
        self.count = 0

    def run(self, a_second, duration_ms):
        jobs = []
        for _ in range(int(a_second * duration_ms / 1_000)):
            self.count += 1
            name = self.names[self.count % len(self.names)]
            request = simple_job(self.count, 2, 1_000, 60)
            job = self.world.submit(request, CONFIRM, name, DEADLINE_MS)
            self.world.queue.after(DEADLINE_MS, lambda job=job: self.world.give_up(job))
            jobs.append(job)
            self.world.run(1_000 / a_second)
        return jobs


@attrs.frozen
class Outcome:
    """What came of an overload: its jobs, those after it, and moves of the right."""

    jobs: list[TestJob]
    jobs_afterwards: list[TestJob]
    moves: int


@cache
def overload(seed):
    world = settled_world(seed=seed, costs=WorkCosts())
    load = Load(world)
    load.run(NORMAL, 1_000)
    jobs = load.run(OVERLOAD, OVERLOAD_MS)
    load.run(NORMAL, RECOVERY_MS)
    afterwards = load.run(NORMAL, 1_000)
    world.run(500)
    moves = counted(world, "rights_won") - 1 + counted(world, "acting_rights_used")
    return Outcome(jobs, afterwards, moves)


def counted(world, name):
    return sum(one.core.board.counters.get(name, 0) for one in world.instances.values())


def share(jobs, chosen):
    return sum(chosen(job) for job in jobs) / len(jobs)


def is_complete(job):
    return job.answer is not None and job.answer.kind is AnswerKind.COMPLETED


def waited_in_vain(job):
    """Whether a caller was neither served nor refused at once."""
    if job.answer is None:
        return True
    refused = job.answer.kind in (AnswerKind.REFUSED, AnswerKind.UNAVAILABLE)
    return not is_complete(job) and not (refused and job.waited_ms <= AT_ONCE_MS)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_right_stays_in_an_overload_that_would_be_one_anywhere(seed):
    """Guards against a right that goes round among instances of the same speed.

    Each takeover costs work on top of the load, so that the next scheduler is too
    slow as well.
    """
    assert overload(seed).moves <= 1


@pytest.mark.parametrize("seed", SEEDS)
def test_an_overloaded_scheduler_serves_what_it_can(seed):
    """Guards against an overload in which the processor's time goes into waste.

    One scheduler bears about 60% of this load; half of that is asked for.
    """
    assert share(overload(seed).jobs, is_complete) > 0.3


@pytest.mark.parametrize("seed", SEEDS)
def test_callers_beyond_the_limit_are_refused_at_once(seed):
    """Guards against callers that wait in a queue until they are refused."""
    assert share(overload(seed).jobs, waited_in_vain) < 0.1


@pytest.mark.parametrize("seed", SEEDS)
def test_a_fleet_serves_again_soon_after_an_overload(seed):
    """Guards against an overload that goes on by itself once its load is gone."""
    assert share(overload(seed).jobs_afterwards, is_complete) > 0.95


def test_a_scheduler_on_a_machine_that_turns_slow_is_left():
    """Guards against taking a slow machine for an overload: the load is the same."""
    world = settled_world(seed=1, costs=WorkCosts())
    load = Load(world)
    load.run(NORMAL, 1_500)
    slow = scheduler_of(world)
    world.instances[slow].processor.cores /= 6
    load.run(NORMAL, 2_000)
    assert scheduler_of(world) != slow
    jobs = load.run(NORMAL, 1_000)
    world.run(500)
    assert share(jobs, is_complete) > 0.95
