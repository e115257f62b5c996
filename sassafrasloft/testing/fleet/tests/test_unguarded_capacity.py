"""Runners that start whatever they are told to, beyond their capacity too."""

import attrs
import pytest

from sassafrasloft.testing.fleet.command_execution import SERVICE
from sassafrasloft.testing.fleet.tests.situations import (
    ROUTES,
    follower_names,
    is_completed,
    scheduler_of,
    settled_world,
    submit_lookup,
    submit_order,
)
from sassafrasloft.workload import Resources, ServicePolicy

UNGUARDED = (ServicePolicy(SERVICE, rejects_overload=False),)
LIST_PERIOD_MS = 1_100
"""Within this time the scheduler reads a changed entry of a runner."""


def unguarded_world(seed):
    world = settled_world(seed=seed)
    world.configure(2, ROUTES, UNGUARDED)
    for runner in world.runners.values():
        runner.guards_capacity = False
    world.run(200)
    return world


def submit_load(world, first, count):
    """Submit more work than the runners have capacity for."""
    names = follower_names(world)
    jobs = []
    for number in range(first, first + count):
        submit = submit_order if number % 3 == 0 else submit_lookup
        jobs.append(submit(world, number, names[number % len(names)]))
        world.run(8)
    return jobs


def set_capacity(world, millicores):
    for runner in world.runners.values():
        capacity = Resources(millicores, 100_000, 0)
        runner.entry = attrs.evolve(runner.entry, capacity=capacity)
        world.register(runner.entry)


def late_starts(world, since):
    return [
        at
        for runner in world.runners.values()
        for at in runner.starts_over_capacity
        if at > since
    ]


@pytest.mark.parametrize("seed", range(3))
def test_capacity_that_shrinks_and_grows_is_kept(seed):
    """Guards against starts on capacity that a runner no longer has."""
    world = unguarded_world(seed)
    submit_load(world, 0, 100)
    assert late_starts(world, 0) == []
    set_capacity(world, 15_000)
    changed_at = world.now
    submit_load(world, 1_000, 300)
    assert late_starts(world, changed_at + LIST_PERIOD_MS) == []
    set_capacity(world, 48_000)
    jobs = submit_load(world, 2_000, 300)
    assert late_starts(world, changed_at + LIST_PERIOD_MS) == []
    assert sum(map(is_completed, jobs)) > len(jobs) / 2


@pytest.mark.parametrize("seed", range(6))
def test_runs_of_a_lost_scheduler_count_against_capacity(seed):
    """Guards against starts beside runs that a successor knows nothing of yet."""
    world = unguarded_world(seed)
    for round_number in range(3):
        submit_load(world, 1_000 * round_number, 80)
        world.kill(scheduler_of(world))
        # Callers of other instances go on.
        names = [one.name for one in world.instances.values() if one.alive]
        for number in range(80):
            name = names[number % len(names)]
            submit_lookup(world, 10_000 + 1_000 * round_number + number, name)
            world.run(8)
    assert late_starts(world, 0) == []


@pytest.mark.parametrize("seed", range(4))
def test_runs_of_a_removed_service_count_against_capacity(seed):
    """Guards against a removed service whose runners are taken to reject overload.

    Its jobs go on under the next scheduler, beside runs of callers that are lost.
    """
    world = unguarded_world(seed)
    scheduler = scheduler_of(world)
    names = list(world.instances)
    for number in range(120):
        name = scheduler if number % 2 else names[number % len(names)]
        submit_order(world, number, name)
        world.run(8)
    world.configure(3, (), ())
    world.run(150)
    world.kill(scheduler)
    world.run(2_000)
    assert late_starts(world, 0) == []
