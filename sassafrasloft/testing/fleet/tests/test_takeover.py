"""Service right after a takeover from a scheduler that is unreachable."""

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
from sassafrasloft.testing.fleet.tests.test_partitions import isolate_zone, zone_of
from sassafrasloft.testing.fleet.world import simple_job

ORDER_TASK_MS = 900


def schedulers_outside(world, zone):
    return [
        one
        for one in world.instances.values()
        if one.zone != zone and one.core.board.leadership.role is Role.SCHEDULING
    ]


def test_jobs_waiting_for_predecessor_leases_do_not_block_new_jobs():
    """Guards against refusals for lack of capacity while runners are free.

    Jobs that the predecessor may still run wait until its leases have expired. They
    use no capacity meanwhile, but were counted as work ahead of new jobs.
    """
    world = settled_world()
    zone = world.instances[scheduler_of(world)].zone
    outside = [name for name, one in world.instances.items() if one.zone != zone]
    for number in range(10):
        submit_order(world, number, outside[number % len(outside)])
    world.run(20)
    isolate_zone(world, zone, False)
    while not schedulers_outside(world, zone):
        world.run(10)
    world.run(100)
    board = schedulers_outside(world, zone)[0].core.board
    blocked = [job for job in board.jobs.open.values() if job.waiting]
    assert len(blocked) >= 4
    job = world.submit(simple_job(100, 2, 14_000, 60), ORDER, outside[0])
    world.run(150)
    assert is_completed(job)


def test_recently_started_scheduler_gets_runners_from_followers():
    """Guards against idle runners after an outage of the store.

    Their entries had expired and reappeared within two seconds. The new scheduler
    was started during the outage and had never read them.
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


def max_heartbeat_delay_of_successor(world, old):
    """Kill the scheduler; return the maximum heartbeat delay of its successor."""
    world.kill(old)
    max_delay_ms = 0
    for _ in range(80):
        world.run(10)
        for one in world.instances.values():
            if one.alive and one.core.board.leadership.role is Role.SCHEDULING:
                max_delay_ms = max(
                    max_delay_ms, one.core.board.leadership.heartbeat_delay_ms
                )
    return max_delay_ms


def test_takeover_does_not_delay_heartbeats_of_successor():
    """Guards against a successor delayed by polling all runners at once.

    A heartbeat delay above `standstill_ms` would limit the intake of jobs.
    """
    world = settled_world(runners=40, costs=WorkCosts())
    max_delay_ms = max_heartbeat_delay_of_successor(world, scheduler_of(world))
    assert max_delay_ms <= Tuning().standstill_ms
    board = world.instances[scheduler_of(world)].core.board
    assert all(view.contacted for view in board.pool.runners.values())


def test_unreachable_runners_do_not_delay_initial_poll_of_others():
    """Guards against unreachable runners that use up the limit of parallel polls."""
    world = settled_world(runners=40)
    unreachable = [
        name for name, one in world.runners.items() if one.entry.zone == "north"
    ]
    world.cut = lambda one, other: one in unreachable or other in unreachable
    world.run(1_500)
    world.kill(scheduler_of(world))
    world.run(400)
    board = world.instances[scheduler_of(world)].core.board
    assert all(
        view.contacted
        for view in board.pool.runners.values()
        if view.runner_id not in unreachable
    )


@pytest.mark.parametrize("zone", ["north", "south"])
def test_successor_with_stale_runner_list_does_not_restart_tasks(zone):
    """Guards against restarting tasks on runners missing in the successor's list.

    The entries had expired when the successor read its list, and were registered
    again afterwards.
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


@pytest.mark.parametrize("seed", range(4))
def test_instances_that_restart_without_the_store_elect_a_scheduler_after_it(seed):
    """Guards against a service that stays down after an outage of everything.

    The leadership lease ends in the outage. The instances had polled their seeds
    meanwhile, and nobody claimed leadership.
    """
    world = settled_world(seed=seed)
    zones = {name: one.zone for name, one in world.instances.items()}
    world.store_down = True
    for name in zones:
        world.kill(name)
    for name, zone in zones.items():
        world.start_instance(name, zone)
        world.run(20)
    world.run(2_500)
    world.store_down = False
    world.run(1_500)
    assert scheduler_of(world) in zones
    assert all(one.ready for one in world.instances.values())


@pytest.mark.parametrize("before_end_ms", [5, 15, 25])
def test_task_that_completes_during_a_takeover_is_not_run_again(before_end_ms):
    """Guards against a second run of tasks that end before the first poll.

    Their runners list them as done, but the new scheduler did not know their runs.
    """
    world = settled_world()
    instance = max(name for name in world.instances if name != scheduler_of(world))
    job = submit_order(world, 1, instance)
    world.run(ORDER_TASK_MS - before_end_ms)
    world.kill(scheduler_of(world))
    world.run(500)
    assert is_completed(job)
    assert world.audit.starts[job.job.job_id] == 2
