"""Partitioned zones and instances, and the runs on both sides."""

import pytest

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.tests.situations import (
    ORDER,
    follower_names,
    is_completed,
    scheduler_of,
    settled_world,
    submit_lookup,
    submit_order,
)
from sassafrasloft.testing.fleet.world import simple_job


def zone_of(world, name):
    if name in world.instances:
        return world.instances[name].zone
    if name in world.runners:
        return world.runners[name].entry.zone
    return "store"


def isolate_zone(world, zone, with_store):
    """Isolate a zone from the other zones, and optionally from the store."""

    def cut(one, other):
        zones = {zone_of(world, one), zone_of(world, other)}
        if "store" in zones and not with_store:
            return False
        return zone in zones and len(zones) == 2

    world.cut = cut


def test_isolated_instance_takes_no_runners():
    """Guards against an isolated instance that fences the scheduler's runners."""
    world = settled_world()
    scheduler = scheduler_of(world)
    isolated = follower_names(world)[0]

    def cut(one, other):
        return isolated in (one, other) and {one, other} & set(world.instances) == {
            one,
            other,
        }

    world.cut = cut
    world.run(5_000)
    assert scheduler_of(world) == scheduler
    job = submit_lookup(world, 1, isolated)
    world.run(100)
    assert job.answer.kind is AnswerKind.UNAVAILABLE
    assert job.answer.retry_after_s >= 1
    assert not world.instances[isolated].ready
    world.cut = lambda one, other: False
    world.run(1_000)
    assert world.instances[isolated].ready


@pytest.mark.parametrize("seed", range(4))
def test_instance_started_in_isolation_does_not_take_leadership(seed):
    """Guards against eleven leadership changes per second.

    A new process knows no other instances. It reached the store, but not the
    scheduler, and took over leadership. The majority took it back at once.
    """
    world = settled_world(seed=seed)
    scheduler = scheduler_of(world)
    isolated = follower_names(world)[0]
    world.kill(isolated)
    world.run(200)
    instances = set(world.instances)
    world.cut = lambda one, other: (
        isolated in (one, other) and {one, other} <= instances
    )
    world.start_instance(isolated, zone_of(world, isolated))
    job = submit_order(world, 1, follower_names(world)[1])
    world.run(4_000)
    assert scheduler_of(world) == scheduler
    assert is_completed(job)
    events = [line.event for one in world.instances.values() for _, line in one.log]
    assert events.count("right_won") == 1


@pytest.mark.parametrize("with_store", [True, False])
@pytest.mark.parametrize("with_scheduler", [True, False])
def test_isolated_zone_serves_on_its_own_runners(with_store, with_scheduler):
    world = settled_world()
    zone = world.instances[scheduler_of(world)].zone
    if not with_scheduler:
        zone = next(one for one in ("north", "south") if one != zone)
    inside = [name for name, one in world.instances.items() if one.zone == zone]
    outside = [name for name, one in world.instances.items() if one.zone != zone]
    isolate_zone(world, zone, with_store)
    world.run(4_500)
    jobs = [submit_lookup(world, 1, inside[0]), submit_lookup(world, 2, outside[0])]
    world.run(400)
    assert [is_completed(job) for job in jobs] == [True, True]
    world.cut = lambda one, other: False
    world.run(2_500)
    scheduler_of(world)
    jobs = [
        submit_lookup(world, 10 + number, name)
        for number, name in enumerate(world.instances)
    ]
    world.run(600)
    assert sum(is_completed(job) for job in jobs) >= len(jobs) - 1


def test_jobs_submitted_to_lost_scheduler_do_not_run_twice():
    """Guards against an isolated zone that runs what the lost scheduler still runs."""
    for seed in range(10):
        world = settled_world(seed=seed)
        zone = world.instances[scheduler_of(world)].zone
        cut_off = next(one for one in ("north", "south") if one != zone)
        inside = [one for one, it in world.instances.items() if it.zone == cut_off]
        for number in range(6):
            submit_order(world, number, inside[number % len(inside)])
        world.run(50)
        isolate_zone(world, cut_off, True)
        world.run(3_000)
        world.cut = lambda one, other: False
        world.run(3_000)


def test_partition_with_reset_streams_lets_no_job_run_on_both_sides():
    """Guards against a stream reset that counts as the end of a process.

    The scheduler in the isolated zone continued jobs that their instances had
    resubmitted to its successor.
    """
    for seed in range(30):
        world = settled_world(seed=seed, runners=3)
        zone = world.instances[scheduler_of(world)].zone
        outside = [one for one, it in world.instances.items() if it.zone != zone]
        for number in range(8):
            job = simple_job(number, 2, 14_000, 400 + 60 * seed)
            world.submit(job, ORDER, outside[number % len(outside)], 4_000)
        world.run(200)
        isolate_zone(world, zone, True)
        world.reset_streams()
        world.run(5_000)


def test_acting_scheduler_does_not_prolong_runs_of_other_scheduler():
    """Guards against leases that an acting scheduler renews.

    The scheduler outside the isolated zone treats the runs inside it as ended once
    their leases have expired, and restarts their tasks.
    """
    for seed in range(40):
        world = settled_world(seed=seed, runners=3)
        scheduler = scheduler_of(world)
        zone = world.instances[scheduler].zone
        cut_off = next(one for one in ("north", "south") if one != zone)
        outside = [one for one, it in world.instances.items() if it.zone != cut_off]
        for number in range(8):
            job = simple_job(number, 2, 14_000, 1_400 + 40 * seed)
            world.submit(job, ORDER, outside[number % len(outside)], 4_000)
        world.run(30)
        isolate_zone(world, cut_off, seed % 2 == 0)
        world.run(5_000)


def test_scheduler_reclaims_runners_of_dead_acting_scheduler():
    """Guards against runners that stay fenced since no instance reports the tokens."""
    world = settled_world({"north": 3, "south": 2, "west": 1}, runners=2)
    scheduler = scheduler_of(world)
    zone = world.instances[scheduler].zone
    cut_off = next(one for one in ("south", "west") if one != zone)
    isolate_zone(world, cut_off, True)
    world.run(1_500)
    acting = [
        one
        for one, it in world.instances.items()
        if it.core.board.leadership.role is Role.ACTING
    ]
    assert acting
    for name in acting:
        world.power_off(name)
    world.cut = lambda one, other: False
    world.run(8_000)
    board = world.instances[scheduler_of(world)].core.board
    assert not any(view.fenced for view in board.pool.runners.values())


def test_runs_on_runners_unknown_to_successor_are_not_duplicated():
    """Guards against a second run while entries of an isolated zone have expired.

    The successor did not know the runners of the zone, and started tasks that were
    still running there.
    """
    for seed in range(12):
        world = settled_world(seed=seed)
        old = scheduler_of(world)
        zone = next(one for one in ("north", "south") if one != zone_of(world, old))
        inside = [one for one, it in world.instances.items() if it.zone == zone]
        isolate_zone(world, zone, True)
        world.run(3_000)
        for runner_id, runner in world.runners.items():
            if runner.entry.zone == zone:
                world.unregister(runner_id)
        world.kill(old)
        world.run(3_000)
        jobs = [submit_order(world, n, inside[n % len(inside)]) for n in range(6)]
        world.run(100)
        world.cut = lambda one, other: False
        world.run(700)
        for runner in world.runners.values():
            world.register(runner.entry)
        world.run(3_000)
        assert all(job.answers for job in jobs), f"seed {seed}"


def test_instance_without_runner_list_does_not_become_acting_scheduler():
    """Guards against an acting scheduler that was started during the store outage."""
    world = settled_world()
    zone = "north" if not scheduler_of(world).startswith("north") else "south"
    world.store_down = True
    world.run(200)
    first = f"{zone}-0"
    world.kill(first)
    world.run(200)
    world.start_instance(first, zone)
    world.run(1_500)
    isolate_zone(world, zone, True)
    world.run(2_000)
    job = submit_lookup(world, 1, f"{zone}-1")
    world.run(300)
    assert is_completed(job)


def test_scheduler_of_isolated_zone_shares_no_jobs_after_partition():
    """Guards against jobs that followers resubmit before their scheduler hands over.

    The streams of the other zones were reset, so that the scheduler considered their
    instances gone and kept leadership. After the partition, its followers submitted
    their jobs to the scheduler of the other zones. This one did not know the runners
    of the isolated zone, whose entries had expired, and started running tasks again.
    """
    for seed in range(12):
        world = settled_world(seed=seed)
        old = scheduler_of(world)
        zone = world.instances[old].zone
        inside = [one for one, it in world.instances.items() if it.zone == zone]
        isolate_zone(world, zone, True)
        world.reset_streams()
        world.run(1_000)
        entries = [it.entry for it in world.runners.values() if it.entry.zone == zone]
        for entry in entries:
            world.unregister(entry.runner_id)
        world.run(4_000)
        world.timer_delays_ms[old] = 50
        world.cut = lambda one, other: False
        for number in range(40):
            submit_order(world, number, inside[number % len(inside)])
            world.run(15)
        for entry in entries:
            world.register(entry)
        world.run(2_000)


@pytest.mark.parametrize("seed", range(4))
def test_scheduler_of_isolated_zone_keeps_serving_its_zone(seed):
    """Guards against a service gap in an isolated zone that contains the scheduler.

    The scheduler gave up leadership after two seconds without the store, failed its
    jobs, and became the acting scheduler a quarter of a second later.
    """
    world = settled_world(seed=seed)
    zone = zone_of(world, scheduler_of(world))
    inside = [name for name, one in world.instances.items() if one.zone == zone]
    isolate_zone(world, zone, True)
    world.run(1_500)
    jobs = []
    for number in range(60):
        jobs.append(submit_lookup(world, number, inside[number % len(inside)]))
        world.run(40)
    world.run(300)
    assert all(is_completed(job) for job in jobs)
    world.cut = lambda one, other: False
    world.run(1_000)
    scheduler_of(world)


def test_isolated_scheduler_gives_up_leadership():
    """Guards against a second scheduler that no other instance follows."""
    world = settled_world()
    old = scheduler_of(world)
    world.cut = lambda one, other: old in (one, other)
    world.run(3_500)
    assert world.instances[old].core.board.leadership.role is not Role.SCHEDULING
    assert not world.instances[old].ready
