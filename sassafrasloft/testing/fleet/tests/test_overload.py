"""More jobs than the processor of a scheduler can sustain."""

from functools import cache

import attrs
import pytest

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.testing.fleet.command_execution import TestJob
from sassafrasloft.testing.fleet.processor import WorkCosts
from sassafrasloft.testing.fleet.tests.situations import (
    CONFIRM,
    scheduler_of,
    settled_world,
)
from sassafrasloft.testing.fleet.world import simple_job

NORMAL_RATE = 100
"""Jobs per second; somewhat more than half of what one scheduler sustains."""
OVERLOAD_RATE = 400
"""Jobs per second; more than twice what one scheduler sustains."""
OVERLOAD_MS = 3_000
DEADLINE_MS = 1_500
PROMPT_REFUSAL_MS = 100
"""A refusal within this time leaves the caller most of its latency objective."""
RECOVERY_MS = 1_500
EXTREME_OVERLOAD_RATE = 800
SITUATIONS = ((1, OVERLOAD_RATE), (2, OVERLOAD_RATE), (1, EXTREME_OVERLOAD_RATE))
"""Seed and jobs per second."""
MIN_SERVED = 360
"""Jobs served in the overload: half of the 240 per second that one scheduler
sustains."""


class Load:
    """Submits jobs to the instances in turn; callers disconnect at their deadlines."""

    def __init__(self, world):
        self.world = world
        self.names = list(world.instances)
        self.count = 0

    def run(self, jobs_per_second, duration_ms):
        jobs = []
        for _ in range(int(jobs_per_second * duration_ms / 1_000)):
            self.count += 1
            name = self.names[self.count % len(self.names)]
            request = simple_job(self.count, 2, 1_000, 60)
            job = self.world.submit(request, CONFIRM, name, DEADLINE_MS)
            self.world.queue.after(DEADLINE_MS, lambda job=job: self.world.give_up(job))
            jobs.append(job)
            self.world.run(1_000 / jobs_per_second)
        return jobs


@attrs.frozen
class Outcome:
    """Jobs during and after an overload, and the number of leadership changes."""

    jobs: list[TestJob]
    jobs_afterwards: list[TestJob]
    leadership_changes: int


@cache
def overload(seed, jobs_per_second):
    world = settled_world(seed=seed, costs=WorkCosts())
    load = Load(world)
    load.run(NORMAL_RATE, 1_000)
    jobs = load.run(jobs_per_second, OVERLOAD_MS)
    load.run(NORMAL_RATE, RECOVERY_MS)
    afterwards = load.run(NORMAL_RATE, 1_000)
    world.run(500)
    leadership_changes = (
        sum_counter(world, "rights_won") - 1 + sum_counter(world, "acting_rights_used")
    )
    return Outcome(jobs, afterwards, leadership_changes)


def sum_counter(world, name):
    return sum(one.core.board.counters.get(name, 0) for one in world.instances.values())


def share(jobs, chosen):
    return sum(chosen(job) for job in jobs) / len(jobs)


def is_complete(job):
    return job.answer is not None and job.answer.kind is AnswerKind.COMPLETED


def waited_unserved(job):
    """Return whether a caller was neither served nor refused at once."""
    if job.answer is None:
        return True
    refused = job.answer.kind in (AnswerKind.REFUSED, AnswerKind.UNAVAILABLE)
    return not is_complete(job) and not (refused and job.waited_ms <= PROMPT_REFUSAL_MS)


@pytest.mark.parametrize(("seed", "jobs_per_second"), SITUATIONS)
def test_leadership_is_kept_in_overload_that_no_instance_could_sustain(
    seed, jobs_per_second
):
    """Guards against repeated leadership changes among equally fast instances.

    Each takeover adds work to the load, so that the next scheduler is too slow as
    well.
    """
    assert overload(seed, jobs_per_second).leadership_changes <= 1


@pytest.mark.parametrize(("seed", "jobs_per_second"), SITUATIONS)
def test_overloaded_scheduler_keeps_serving_jobs(seed, jobs_per_second):
    """Guards against an overload in which processor time is wasted."""
    assert sum(map(is_complete, overload(seed, jobs_per_second).jobs)) > MIN_SERVED


@pytest.mark.parametrize(("seed", "jobs_per_second"), SITUATIONS)
def test_excess_callers_are_refused_at_once(seed, jobs_per_second):
    """Guards against callers that wait in a queue only to be refused."""
    assert share(overload(seed, jobs_per_second).jobs, waited_unserved) < 0.1


@pytest.mark.parametrize(("seed", "jobs_per_second"), SITUATIONS)
def test_fleet_recovers_soon_after_overload(seed, jobs_per_second):
    """Guards against an overload that sustains itself after its load has ended."""
    assert share(overload(seed, jobs_per_second).jobs_afterwards, is_complete) > 0.95


@pytest.mark.parametrize(
    ("factor", "jobs_per_second"), [(3, NORMAL_RATE), (6, NORMAL_RATE), (6, 30)]
)
def test_scheduler_on_machine_that_becomes_slow_is_replaced(factor, jobs_per_second):
    """Guards against mistaking a slow machine for an overload; the load is the same."""
    world = settled_world(seed=1, costs=WorkCosts())
    load = Load(world)
    load.run(jobs_per_second, 1_500)
    slow = scheduler_of(world)
    world.instances[slow].processor.cores /= factor
    load.run(jobs_per_second, 2_000)
    assert scheduler_of(world) != slow
    jobs = load.run(jobs_per_second, 1_000)
    world.run(500)
    assert share(jobs, is_complete) > 0.95


def test_overloaded_scheduler_hands_over_to_much_faster_instance():
    """Guards against an overload on a slow machine while a faster one is available."""
    strong = "west-0"
    world = settled_world(seed=1, costs=WorkCosts(), cores={strong: 4.0})
    world.stop(strong)
    world.run(6_000)
    assert scheduler_of(world) != strong
    world.start_instance(strong, "west")
    load = Load(world)
    load.run(NORMAL_RATE, 1_500)
    load.run(OVERLOAD_RATE, 2_000)
    assert scheduler_of(world) == strong
    jobs = load.run(OVERLOAD_RATE, 1_000)
    world.run(500)
    assert share(jobs, is_complete) > 0.95


def test_scheduler_that_dies_in_overload_has_one_successor():
    """Guards against a takeover after which the successor loses leadership as well.

    All instances resubmit hundreds of open jobs on top of the load.
    """
    world = settled_world(seed=1, costs=WorkCosts())
    load = Load(world)
    load.run(NORMAL_RATE, 1_500)
    load.run(EXTREME_OVERLOAD_RATE, 1_000)
    dead = scheduler_of(world)
    world.kill(dead)
    load.names.remove(dead)
    load.run(EXTREME_OVERLOAD_RATE, 1_500)
    load.run(NORMAL_RATE, RECOVERY_MS)
    jobs = load.run(NORMAL_RATE, 1_000)
    world.run(500)
    leadership_changes = (
        sum_counter(world, "rights_won") - 1 + sum_counter(world, "acting_rights_used")
    )
    assert leadership_changes == 1
    assert share(jobs, is_complete) > 0.95
