"""Two simultaneous schedulers, and jobs that move from one to the other."""

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
from sassafrasloft.testing.fleet.tests.test_partitions import isolate_zone
from sassafrasloft.testing.fleet.world import FleetWorld, simple_job

ZONES = {"north": 3, "south": 4, "darkhan": 2}


@pytest.mark.parametrize("seed", range(8))
def test_followers_that_know_successor_first_cause_no_second_run(seed):
    """Guards against jobs that are resubmitted before the predecessor reports its runs.

    The zone of the scheduler was isolated for six seconds, its streams were reset and
    the entries of its runners expired. After the partition, its followers read the
    new leadership record some milliseconds before the scheduler did, and the
    successor restarted their tasks.
    """
    world = FleetWorld(ZONES, 8, seed=seed)
    world.configure(1, ROUTES)
    world.run(1_000)
    old = scheduler_of(world)
    zone = world.instances[old].zone
    inside = [name for name, one in world.instances.items() if one.zone == zone]
    # Instances retry their calls to the store at different times.
    phases = Random(seed)
    world.timer_delays_ms = {name: phases.randrange(30) for name in world.instances}
    isolate_zone(world, zone, True)
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


@pytest.mark.parametrize("starts_at_scheduler", [True, False])
def test_job_retried_on_other_side_of_partition_runs_once(starts_at_scheduler):
    """Guards against runs that continue after the connection of their caller broke.

    Each side of the partition has a scheduler. The caller retried the job after
    1,300 ms and reached the other scheduler.
    """
    world = settled_world()
    zone = world.instances[scheduler_of(world)].zone
    inside = [name for name, one in world.instances.items() if one.zone == zone]
    outside = [name for name, one in world.instances.items() if one.zone != zone]
    first, second = (inside, outside) if starts_at_scheduler else (outside, inside)
    isolate_zone(world, zone, True)
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


def test_job_retried_on_other_side_after_undetected_disconnect_runs_once():
    """Guards against two runs if an instance does not detect a disconnected caller."""
    world = settled_world()
    zone = world.instances[scheduler_of(world)].zone
    inside = [name for name, one in world.instances.items() if one.zone == zone]
    outside = [name for name, one in world.instances.items() if one.zone != zone]
    isolate_zone(world, zone, True)
    world.reset_streams()
    world.run(1_500)
    job = simple_job(1, 2, 14_000, 2_400)
    world.submit(job, ORDER, inside[0], 4_000)
    world.run(100 + RETRY_DELAY_MS)
    world.submit(job, ORDER, outside[0], 4_000)
    world.run(3_000)
