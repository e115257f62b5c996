"""Two schedulers at work side by side, and jobs that pass between them."""

from random import Random

import pytest

from sassafrasloft.testing.fleet.scenario_callers import RETRY_DELAY_MS
from sassafrasloft.testing.fleet.tests.situations import (
    CONFIRM,
    ORDER,
    ROUTES,
    is_completed,
    scheduler_of,
    settled_world,
)
from sassafrasloft.testing.fleet.tests.test_cuts import cut_zone
from sassafrasloft.testing.fleet.world import FleetWorld, simple_job

ZONES = {"north": 3, "south": 4, "darkhan": 2}


@pytest.mark.parametrize("seed", range(8))
def test_followers_that_learn_of_a_successor_first_let_no_task_run_twice(seed):
    """Guards against jobs handed in again before the former scheduler reports.

    The zone of the scheduler was cut off with resets for six seconds, and the entries
    of its runners lapsed. At the end of the cut its followers read the new record some
    milliseconds before it did, and the successor started their tasks again.
    """
    world = FleetWorld(ZONES, 8, seed=seed)
    world.configure(1, ROUTES)
    world.run(1_000)
    old = scheduler_of(world)
    zone = world.instances[old].zone
    inside = [name for name, one in world.instances.items() if one.zone == zone]
    # Instances ask the store again at different times.
    phases = Random(seed)
    world.timer_delays_ms = {name: phases.randrange(30) for name in world.instances}
    cut_zone(world, zone, True)
    world.reset_streams()
    world.run(3_200)
    for runner in world.runners.values():
        if runner.entry.zone == zone:
            world.unregister(runner.entry.runner_id)
    world.run(2_300)
    for number in range(100):
        if number == 50:
            world.cut = lambda one, other: False
        route, duration = ((CONFIRM, 300), (ORDER, 900))[number % 10 == 0]
        job = simple_job(number, 2, 14_000, duration)
        world.submit(job, route, inside[number % len(inside)])
        world.run(10)
    world.run(2_000)


@pytest.mark.parametrize("by_scheduler", [True, False])
def test_a_job_whose_caller_returns_on_the_other_side_of_a_cut_runs_once(by_scheduler):
    """Guards against work that goes on after its caller's connection broke.

    Each side of the cut has a scheduler. The caller sent the job again after 1,300 ms
    and reached the other one.
    """
    world = settled_world()
    zone = world.instances[scheduler_of(world)].zone
    inside = [name for name, one in world.instances.items() if one.zone == zone]
    outside = [name for name, one in world.instances.items() if one.zone != zone]
    first, second = (inside, outside) if by_scheduler else (outside, inside)
    cut_zone(world, zone, True)
    world.reset_streams()
    world.run(1_500)
    job = simple_job(1, 2, 14_000, 2_400)
    known = world.submit(job, ORDER, first[0], 4_000)
    world.run(100)
    world.give_up(known, reset=True)
    world.run(RETRY_DELAY_MS)
    world.submit(job, ORDER, second[0], 4_000)
    world.run(3_000)
    assert is_completed(known)


def test_a_caller_returns_on_the_other_side_of_a_cut_without_being_missed():
    """Guards against two runs if an instance does not see that its caller is gone."""
    world = settled_world()
    zone = world.instances[scheduler_of(world)].zone
    inside = [name for name, one in world.instances.items() if one.zone == zone]
    outside = [name for name, one in world.instances.items() if one.zone != zone]
    cut_zone(world, zone, True)
    world.reset_streams()
    world.run(1_500)
    job = simple_job(1, 2, 14_000, 2_400)
    world.submit(job, ORDER, inside[0], 4_000)
    world.run(100 + RETRY_DELAY_MS)
    world.submit(job, ORDER, outside[0], 4_000)
    world.run(3_000)
