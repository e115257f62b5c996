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
FAR_OVERLOAD = 800
SITUATIONS = ((1, OVERLOAD), (2, OVERLOAD), (1, FAR_OVERLOAD))
"""Seed, and jobs a second."""
SERVED = 360
"""Jobs in the overload: half of the 240 a second that one scheduler bears."""


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
def overload(seed, a_second):
    world = settled_world(seed=seed, costs=WorkCosts())
    load = Load(world)
    load.run(NORMAL, 1_000)
    jobs = load.run(a_second, OVERLOAD_MS)
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


@pytest.mark.parametrize(("seed", "a_second"), SITUATIONS)
def test_the_right_stays_in_an_overload_that_would_be_one_anywhere(seed, a_second):
    """Guards against a right that goes round among instances of the same speed.

    Each takeover costs work on top of the load, so that the next scheduler is too
    slow as well.
    """
    assert overload(seed, a_second).moves <= 1


@pytest.mark.parametrize(("seed", "a_second"), SITUATIONS)
def test_an_overloaded_scheduler_serves_what_it_can(seed, a_second):
    """Guards against an overload in which the processor's time goes into waste."""
    assert sum(map(is_complete, overload(seed, a_second).jobs)) > SERVED


@pytest.mark.parametrize(("seed", "a_second"), SITUATIONS)
def test_callers_beyond_the_limit_are_refused_at_once(seed, a_second):
    """Guards against callers that wait in a queue until they are refused."""
    assert share(overload(seed, a_second).jobs, waited_in_vain) < 0.1


@pytest.mark.parametrize(("seed", "a_second"), SITUATIONS)
def test_a_fleet_serves_again_soon_after_an_overload(seed, a_second):
    """Guards against an overload that goes on by itself once its load is gone."""
    assert share(overload(seed, a_second).jobs_afterwards, is_complete) > 0.95


@pytest.mark.parametrize(("factor", "a_second"), [(3, NORMAL), (6, NORMAL), (6, 30)])
def test_a_scheduler_on_a_machine_that_turns_slow_is_left(factor, a_second):
    """Guards against taking a slow machine for an overload: the load is the same."""
    world = settled_world(seed=1, costs=WorkCosts())
    load = Load(world)
    load.run(a_second, 1_500)
    slow = scheduler_of(world)
    world.instances[slow].processor.cores /= factor
    load.run(a_second, 2_000)
    assert scheduler_of(world) != slow
    jobs = load.run(a_second, 1_000)
    world.run(500)
    assert share(jobs, is_complete) > 0.95


def test_an_overloaded_scheduler_hands_over_to_a_much_stronger_instance():
    """Guards against an overload on a weak machine beside strong ones."""
    strong = "west-0"
    world = settled_world(seed=1, costs=WorkCosts(), cores={strong: 4.0})
    world.stop(strong)
    world.run(6_000)
    assert scheduler_of(world) != strong
    world.start_instance(strong, "west")
    load = Load(world)
    load.run(NORMAL, 1_500)
    load.run(OVERLOAD, 2_000)
    assert scheduler_of(world) == strong
    jobs = load.run(OVERLOAD, 1_000)
    world.run(500)
    assert share(jobs, is_complete) > 0.95


def test_a_scheduler_that_dies_in_an_overload_has_one_successor():
    """Guards against a takeover that costs the successor the right as well.

    All instances hand in hundreds of open jobs again on top of the load.
    """
    world = settled_world(seed=1, costs=WorkCosts())
    load = Load(world)
    load.run(NORMAL, 1_500)
    load.run(FAR_OVERLOAD, 1_000)
    dead = scheduler_of(world)
    world.kill(dead)
    load.names.remove(dead)
    load.run(FAR_OVERLOAD, 1_500)
    load.run(NORMAL, RECOVERY_MS)
    jobs = load.run(NORMAL, 1_000)
    world.run(500)
    moves = counted(world, "rights_won") - 1 + counted(world, "acting_rights_used")
    assert moves == 1
    assert share(jobs, is_complete) > 0.95
