"""Schedulers and other instances that are killed, frozen, slow or stopped."""

from sassafrasloft.instance.events import BacklogMeasured
from sassafrasloft.leadership import Role
from sassafrasloft.leadership.followers import Followers
from sassafrasloft.leadership.role_controller import (
    HEARTBEAT_TIMER,
    PROMOTION_RETRY_MS,
)
from sassafrasloft.testing.fleet.store_execution import STORE
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


def test_jobs_complete_within_a_second_after_scheduler_is_killed():
    world = settled_world()
    old = scheduler_of(world)
    world.kill(old)
    world.run(150)
    name = follower_names(world)[0]
    job = submit_lookup(world, 1, name if name != old else follower_names(world)[1])
    world.run(300)
    assert scheduler_of(world) != old
    assert is_completed(job)


def test_successor_adopts_runs():
    """Guards against a successor that restarts or drops the tasks of open jobs."""
    world = settled_world()
    name = follower_names(world)[0]
    job = submit_order(world, 1, name)
    world.run(300)
    world.kill(scheduler_of(world))
    world.run(1_500)
    assert is_completed(job)
    assert world.audit.starts[job.job.job_id] == 2
    assert job.waited_ms < 1_200


def test_scheduler_without_heartbeats_is_replaced():
    world = settled_world()
    old = scheduler_of(world)
    world.power_off(old)
    world.run(1_500)
    new = scheduler_of(world)
    assert new != old
    job = submit_lookup(world, 1, new)
    world.run(300)
    assert is_completed(job)


def test_frozen_scheduler_follows_successor_when_resumed():
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


def test_run_that_cannot_be_stopped_blocks_its_task():
    """Guards against a second run while the stop of an orphaned run is unanswered."""
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


def test_planned_stop_of_scheduler_loses_no_job():
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


def test_planned_stop_with_unreachable_runner_delays_no_job():
    """Guards against jobs that wait for the leases of an unreachable runner.

    The successor cannot poll it, but the predecessor reports what runs there.
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


def test_stopping_scheduler_hands_over_while_its_first_choice_stops():
    """Guards against a scheduler that asks one follower until its process ends.

    Stops of several instances overlap. The follower that the scheduler prefers is
    stopping itself and does not take over.
    """
    world = settled_world()
    scheduler = scheduler_of(world)
    board = world.instances[scheduler].core.board
    preferred = Followers().choose_successor(board).name
    world.stop(preferred)
    world.run(200)
    world.stop(scheduler)
    world.run(PROMOTION_RETRY_MS + 200)
    assert scheduler_of(world) not in (scheduler, preferred)


def test_instance_started_during_store_outage_finds_scheduler():
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


def test_runners_with_entries_expired_in_store_outage_are_used_afterwards():
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


def test_stopping_all_instances_in_turn_loses_no_job():
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


def test_fleet_recovers_after_all_instances_are_killed():
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


def test_fleet_recovers_after_power_loss_of_all_machines():
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


def test_scheduling_continues_while_store_is_down():
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


def test_acting_scheduler_serves_if_scheduler_is_killed_while_store_is_down():
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


def test_scheduler_partitioned_only_from_store_keeps_serving():
    world = settled_world()
    scheduler = scheduler_of(world)
    world.cut = lambda one, other: STORE in (one, other) and scheduler in (one, other)
    world.run(4_000)
    job = submit_lookup(world, 1, follower_names(world)[0])
    world.run(300)
    assert is_completed(job)


def test_scheduler_with_delayed_timers_hands_over():
    """Load pattern: the machine of the scheduler becomes six times slower."""
    world = settled_world()
    slow = scheduler_of(world)
    world.timer_delays_ms[slow] = 80
    world.run(1_500)
    assert scheduler_of(world) != slow
    jobs = [submit_lookup(world, n, name) for n, name in enumerate(world.instances)]
    world.run(400)
    assert all(is_completed(job) for job in jobs)


def test_scheduler_with_event_backlog_and_punctual_heartbeats_hands_over():
    """Guards against a slow scheduler whose heartbeats overtake its other events."""
    world = settled_world()
    slow = scheduler_of(world)
    for _ in range(30):
        world.tell(world.instances[slow], BacklogMeasured(80))
        world.run(50)
    assert scheduler_of(world) != slow


def test_scheduler_with_single_event_backlog_keeps_leadership():
    world = settled_world()
    scheduler = scheduler_of(world)
    # Exactly one heartbeat falls into the backlog.
    world.queue.run_until(world.instances[scheduler].timers[HEARTBEAT_TIMER])
    world.tell(world.instances[scheduler], BacklogMeasured(300))
    world.run(60)
    world.tell(world.instances[scheduler], BacklogMeasured(0))
    world.run(1_500)
    assert scheduler_of(world) == scheduler
