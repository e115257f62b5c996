"""Two schedulers at work side by side, and jobs that pass between them."""

from random import Random

import pytest

from sassafrasloft.testing.fleet.tests.situations import (
    CONFIRM,
    ORDER,
    ROUTES,
    scheduler_of,
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
    world.timer_delay = {name: phases.randrange(30) for name in world.instances}
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
