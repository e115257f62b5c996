"""What a scheduler serves right after it took over from one that is out of reach."""

from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.tests.situations import (
    ORDER,
    completed,
    scheduler_of,
    settled_world,
    submit_order,
)
from sassafrasloft.testing.fleet.tests.test_cuts import cut_zone
from sassafrasloft.testing.fleet.world import simple_job


def schedulers_outside(world, zone):
    return [
        one
        for one in world.instances.values()
        if one.zone != zone and one.core.board.rights.role is Role.SCHEDULING
    ]


def test_jobs_that_wait_for_old_leases_do_not_turn_new_jobs_away():
    """Guards against refusals for want of room while runners are free.

    Jobs that the lost scheduler may still run wait until its leases have ended. They
    take no room meanwhile, but were counted as work that goes before new jobs.
    """
    world = settled_world()
    zone = world.instances[scheduler_of(world)].zone
    outside = [name for name, one in world.instances.items() if one.zone != zone]
    for number in range(10):
        submit_order(world, number, outside[number % len(outside)])
    world.run(20)
    cut_zone(world, zone, False)
    while not schedulers_outside(world, zone):
        world.run(10)
    world.run(100)
    board = schedulers_outside(world, zone)[0].core.board
    blocked = [job for job in board.jobs.open.values() if job.waiting]
    assert len(blocked) >= 4
    job = world.submit(simple_job(100, 2, 14_000, 60), ORDER, outside[0])
    world.run(150)
    assert completed(job)
