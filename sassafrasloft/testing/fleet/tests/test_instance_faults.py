"""Schedulers and instances that are killed, frozen, slow or stopped."""

from sassafrasloft.instance.events import BacklogMeasured
from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.edges import STORE
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


def test_work_goes_on_within_a_second_after_the_scheduler_is_killed():
    world = settled_world()
    old = scheduler_of(world)
    world.kill(old)
    world.run(150)
    name = follower_names(world)[0]
    job = submit_lookup(world, 1, name if name != old else follower_names(world)[1])
    world.run(300)
    assert scheduler_of(world) != old
    assert is_completed(job)


def test_runs_are_adopted_by_the_successor():
    """Guards against starting the tasks of open jobs again, or dropping them."""
    world = settled_world()
    name = follower_names(world)[0]
    job = submit_order(world, 1, name)
    world.run(300)
    world.kill(scheduler_of(world))
    world.run(1_500)
    assert is_completed(job)
    assert world.audit.starts[job.job.job_id] == 2
    assert job.waited_ms < 1_200


def test_a_silent_scheduler_is_replaced():
    world = settled_world()
    old = scheduler_of(world)
    world.power_off(old)
    world.run(1_500)
    new = scheduler_of(world)
    assert new != old
    job = submit_lookup(world, 1, new)
    world.run(300)
    assert is_completed(job)


def test_a_frozen_scheduler_that_wakes_gives_way():
    world = settled_world()
    old = scheduler_of(world)
    name = follower_names(world)[0]
    job = submit_order(world, 1, name)
    world.run(100)
    world.freeze(old)
    world.run(4_000)
    world.thaw(old)
    world.run(500)
    assert scheduler_of(world) != old
    assert world.instances[old].core.board.leadership.role is Role.FOLLOWING
    assert job.answers


def test_a_run_that_cannot_be_stopped_blocks_its_task():
    """Guards against a second run while the stop of an unknown run is unanswered."""
    for seed in range(20):
        world = settled_world(seed=seed)
        old = scheduler_of(world)
        names = follower_names(world)
        job = simple_job(1, 4, 14_000, 2_500)
        known = world.submit(job, ORDER, names[0], 6_000)
        world.run(100)
        world.give_up(known, reset=True)
        world.kill(names[0])
        world.kill(old)
        world.late_orders = 0.8
        world.run(700)
        world.submit(job, ORDER, names[1], 6_000)
        world.run(1_500)
        world.late_orders = 0.0
        world.run(6_000)


def test_a_planned_stop_of_the_scheduler_loses_no_job():
    world = settled_world()
    old = scheduler_of(world)
    jobs = [
        submit_order(world, number, name)
        for number, name in enumerate(follower_names(world)[:3])
    ]
    jobs.append(submit_order(world, 9, old))
    world.run(100)
    world.stop(old)
    world.run(100)
    assert scheduler_of(world) != old
    world.run(6_000)
    assert not world.instances[old].alive
    assert all(is_completed(job) for job in jobs)
    assert all(world.audit.starts[job.job.job_id] == 2 for job in jobs)


def test_a_planned_stop_beside_a_dead_runner_delays_no_job():
    """Guards against jobs that wait for the leases of a runner that is gone.

    The next scheduler cannot reach it, but the former one says what runs there.
    """
    for seed in range(8):
        world = settled_world(seed=seed)
        old = scheduler_of(world)
        dead = next(iter(world.runners))
        world.cut = lambda one, other, dead=dead: dead in (one, other)
        world.run(1_500)
        jobs = [
            submit_lookup(world, n, name)
            for n, name in enumerate(follower_names(world))
        ]
        world.run(10)
        world.stop(old)
        jobs += [
            submit_lookup(world, 20 + n, name)
            for n, name in enumerate(follower_names(world))
        ]
        world.run(400)
        assert all(is_completed(job) for job in jobs), f"seed {seed}"
        assert max(job.waited_ms for job in jobs) < 250


def test_an_instance_started_during_an_outage_of_the_store_finds_the_scheduler():
    world = settled_world()
    scheduler = scheduler_of(world)
    name = follower_names(world)[0]
    world.store_down = True
    world.run(500)
    world.kill(name)
    world.run(200)
    world.start_instance(name, "north")
    world.run(1_000)
    started = world.instances[name].core.board
    assert started.leadership.role is Role.FOLLOWING
    assert started.leadership.record.name == scheduler
    assert world.instances[name].ready
    job = submit_lookup(world, 1, name)
    world.run(300)
    assert is_completed(job)


def test_runners_whose_entries_lapsed_in_an_outage_are_used_on_its_return():
    world = settled_world()
    world.store_down = True
    world.run(3_000)
    for runner_id in world.runners:
        world.unregister(runner_id)
    world.store_down = False
    world.run(1_200)
    jobs = [submit_lookup(world, n, name) for n, name in enumerate(world.instances)]
    world.run(300)
    assert all(is_completed(job) for job in jobs)


def test_all_instances_stopped_in_turn():
    world = settled_world()
    jobs = []
    for number, name in enumerate(list(world.instances)):
        world.stop(name)
        alive = [one.name for one in world.instances.values() if one.ready]
        jobs += [
            submit_lookup(world, 10 * number + k, one)
            for k, one in enumerate(alive[:3])
        ]
        world.run(2_000)
        if not world.instances[name].alive:
            world.start_instance(name, world.instances[name].zone)
        world.run(2_000)
        if not world.instances[name].alive:
            world.start_instance(name, world.instances[name].zone)
    world.run(2_000)
    assert all(is_completed(job) for job in jobs)


def test_all_instances_killed_and_started_again():
    world = settled_world()
    for name in list(world.instances):
        world.kill(name)
    world.run(1_000)
    for name in list(world.instances):
        world.start_instance(name, world.instances[name].zone)
    world.run(1_000)
    job = submit_lookup(world, 1, scheduler_of(world))
    world.run(300)
    assert is_completed(job)


def test_all_machines_lose_power_and_come_back():
    world = settled_world()
    for name in list(world.instances):
        world.power_off(name)
    world.run(1_000)
    for name in list(world.instances):
        world.start_instance(name, world.instances[name].zone)
    world.run(2_500)
    job = submit_lookup(world, 1, scheduler_of(world))
    world.run(300)
    assert is_completed(job)


def test_scheduling_goes_on_while_the_store_is_down():
    world = settled_world()
    scheduler = scheduler_of(world)
    world.store_down = True
    world.run(6_000)
    job = submit_lookup(world, 1, follower_names(world)[0])
    world.run(300)
    assert is_completed(job)
    world.store_down = False
    world.run(3_000)
    assert scheduler_of(world) == scheduler


def test_an_instance_acts_if_the_scheduler_is_killed_while_the_store_is_down():
    world = settled_world()
    world.store_down = True
    world.run(500)
    world.kill(scheduler_of(world))
    world.run(2_000)
    alive = [one.name for one in world.instances.values() if one.alive]
    jobs = [submit_lookup(world, number, name) for number, name in enumerate(alive)]
    world.run(600)
    assert all(is_completed(job) for job in jobs)
    roles = [one.core.board.leadership.role for one in world.instances.values()]
    assert roles.count(Role.ACTING) == 1
    world.store_down = False
    world.run(3_000)
    scheduler_of(world)
    jobs = [
        submit_lookup(world, 20 + number, name) for number, name in enumerate(alive)
    ]
    world.run(600)
    assert all(is_completed(job) for job in jobs)


def test_an_instance_cut_off_from_the_store_only_goes_on():
    world = settled_world()
    scheduler = scheduler_of(world)
    world.cut = lambda one, other: STORE in (one, other) and scheduler in (one, other)
    world.run(4_000)
    job = submit_lookup(world, 1, follower_names(world)[0])
    world.run(300)
    assert is_completed(job)


def test_a_scheduler_with_too_little_processor_hands_over():
    """Load pattern: the scheduler's machine turns six times slower."""
    world = settled_world()
    slow = scheduler_of(world)
    world.timer_delays_ms[slow] = 80
    world.run(1_500)
    assert scheduler_of(world) != slow
    jobs = [submit_lookup(world, n, name) for n, name in enumerate(world.instances)]
    world.run(400)
    assert all(is_completed(job) for job in jobs)


def test_a_scheduler_whose_events_wait_hands_over_although_its_beats_are_on_time():
    """Guards against a slow scheduler that stays because beats pass other events."""
    world = settled_world()
    slow = scheduler_of(world)
    for _ in range(30):
        world.tell(world.instances[slow], BacklogMeasured(80))
        world.run(50)
    assert scheduler_of(world) != slow


def test_a_scheduler_whose_events_waited_once_stays():
    world = settled_world()
    scheduler = scheduler_of(world)
    world.tell(world.instances[scheduler], BacklogMeasured(300))
    world.run(60)
    world.tell(world.instances[scheduler], BacklogMeasured(0))
    world.run(1_500)
    assert scheduler_of(world) == scheduler
