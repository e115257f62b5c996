"""What a scheduler serves right after it took over from one that is out of reach."""

import pytest

from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.processor import WorkCosts
from sassafrasloft.testing.fleet.tests.situations import (
    ORDER,
    is_completed,
    scheduler_of,
    settled_world,
    submit_lookup,
    submit_order,
)
from sassafrasloft.testing.fleet.tests.test_cuts import cut_zone, zone_of
from sassafrasloft.testing.fleet.world import simple_job


def schedulers_outside(world, zone):
    return [
        one
        for one in world.instances.values()
        if one.zone != zone and one.core.board.leadership.role is Role.SCHEDULING
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
    assert is_completed(job)


def test_a_scheduler_that_has_just_started_learns_runners_from_its_followers():
    """Guards against idle runners after an outage of the store.

    Their entries had lapsed and come back within two seconds; the new scheduler was
    started in the outage and had never seen them.
    """
    world = settled_world()
    old = scheduler_of(world)
    new = next(name for name in sorted(world.instances) if name != old)
    world.store_down = True
    world.run(400)
    world.kill(new)
    world.run(300)
    world.start_instance(new, zone_of(world, new))
    world.run(600)
    entries = [runner.entry for runner in world.runners.values()]
    for entry in entries:
        world.unregister(entry.runner_id)
    world.store_down = False
    world.run(600)
    world.kill(old)
    world.run(200)
    assert scheduler_of(world) == new
    instance = next(name for name in world.instances if name not in (old, new))
    job = submit_lookup(world, 1, instance)
    world.run(200)
    assert is_completed(job)
    for entry in entries:
        world.register(entry)
    world.run(4_000)
    assert len(world.instances[new].core.board.pool.runners) == len(entries)


def latest_beat_of_successor(world, old):
    """Kill the scheduler; return how late a beat of its successor came."""
    world.kill(old)
    latest = 0
    for _ in range(80):
        world.run(10)
        for one in world.instances.values():
            if one.alive and one.core.board.leadership.role is Role.SCHEDULING:
                latest = max(latest, one.core.board.leadership.heartbeat_delay_ms)
    return latest


def test_a_takeover_does_not_keep_the_successor_from_its_beats():
    """Guards against a successor that is late from contacting all runners at once.

    A beat that is later than a standstill of the machine would limit the intake.
    """
    world = settled_world(runners=40, costs=WorkCosts())
    latest = latest_beat_of_successor(world, scheduler_of(world))
    assert latest <= Tuning().standstill_ms
    board = world.instances[scheduler_of(world)].core.board
    assert all(view.contacted for view in board.pool.runners.values())


def test_runners_that_do_not_answer_do_not_hold_up_the_contact_of_others():
    """Guards against a window of contacts that unreachable runners fill."""
    world = settled_world(runners=40)
    silent = [name for name, one in world.runners.items() if one.entry.zone == "north"]
    world.cut = lambda one, other: one in silent or other in silent
    world.run(1_500)
    world.kill(scheduler_of(world))
    world.run(400)
    board = world.instances[scheduler_of(world)].core.board
    assert all(
        view.contacted
        for view in board.pool.runners.values()
        if view.runner_id not in silent
    )


@pytest.mark.parametrize("zone", ["north", "south"])
def test_a_successor_with_an_old_list_of_runners_starts_no_task_again(zone):
    """Guards against tasks that run on runners which the successor did not list yet.

    Their entries had lapsed when it read its stale list, and were back since.
    """
    world = settled_world({"north": 2, "south": 2}, runners=2)
    old = scheduler_of(world)
    successor = min(name for name in world.instances if name != old)
    entries = [it.entry for it in world.runners.values() if it.entry.zone == zone]
    for entry in entries:
        world.unregister(entry.runner_id)
    board = world.instances[successor].core.board
    while len(board.pool.entries) == len(world.runners):
        world.run(10)
    for entry in entries:
        world.register(entry)
    world.run(1_200)
    jobs = [submit_order(world, number, successor) for number in range(3)]
    world.run(100)
    world.kill(old)
    world.run(1_500)
    assert scheduler_of(world) == successor
    assert all(is_completed(job) for job in jobs)
