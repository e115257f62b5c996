"""Instances that fail or are partitioned while configuration and runners change."""

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.testing.fleet.store_execution import STORE
from sassafrasloft.testing.fleet.tests.situations import (
    ROUTES,
    drain,
    follower_names,
    is_completed,
    scheduler_of,
    settled_world,
    submit_lookup,
    submit_order,
)

CONFIG_APPLY_MS = 2_000
"""Time within which each connected instance applies a new configuration."""


def submit_to_ready_instances(world, count, gap_ms=60, first=1):
    """Submit lookups to the instances that are alive and ready, in turn."""
    jobs = []
    for number in range(count):
        ready = [
            one.name for one in world.instances.values() if one.alive and one.ready
        ]
        name = ready[number % len(ready)]
        jobs.append(submit_lookup(world, first + number, name))
        world.run(gap_ms)
    return jobs


def count_completed(jobs):
    return sum(is_completed(job) for job in jobs)


def versions(world):
    return {
        one.core.board.configuration.current.version
        for one in world.instances.values()
        if one.alive
    }


def test_killed_scheduler_restarts_during_changes_and_draining():
    """Guards against starts on draining runners after a takeover.

    The successor begins with its previous list of runners. As the predecessor
    restarts, the configuration changes twice and some runners begin to drain.
    """
    for seed in range(8):
        world = settled_world(seed=seed)
        old = scheduler_of(world)
        zone = world.instances[old].zone
        # Callers of the killed instance itself get no answer.
        jobs = [
            submit_lookup(world, n, name)
            for n, name in enumerate(follower_names(world))
        ]
        world.kill(old)
        world.run(400)
        world.start_instance(old, zone)
        world.configure(2, ROUTES)
        world.configure(3, ROUTES)
        for runner_id in list(world.runners)[::5]:
            drain(world, runner_id)
        jobs += submit_to_ready_instances(world, 60, first=100)
        world.run(1_000)
        assert versions(world) == {3}, f"seed {seed}"
        assert count_completed(jobs) >= len(jobs) - 1, f"seed {seed}"
        assert all(job.answers for job in jobs), f"seed {seed}"


def test_successor_killed_during_takeover_loses_few_jobs():
    """Guards against job losses if the successor is killed during its takeover."""
    for seed in range(8):
        world = settled_world(seed=seed)
        jobs = [
            submit_order(world, n, name) for n, name in enumerate(follower_names(world))
        ]
        old = scheduler_of(world)
        world.kill(old)
        world.run(60)
        successors = [
            one.name
            for one in world.instances.values()
            if one.alive
            and one.core.board.leadership.token_for(one.zone)
            and one.core.board.pool.active
        ]
        for name in successors[:1]:
            world.kill(name)
        world.run(3_000)
        alive = {one.name for one in world.instances.values() if one.alive}
        assert scheduler_of(world) in alive, f"seed {seed}"
        assert count_completed(jobs) >= len(jobs) - 1, f"seed {seed}"


def test_follower_restarted_during_configuration_change_applies_it():
    """Guards against an instance that reads the configuration too early."""
    for seed in range(8):
        world = settled_world(seed=seed)
        name = follower_names(world)[0]
        zone = world.instances[name].zone
        world.kill(name)
        world.run(3_000)
        world.start_instance(name, zone)
        world.configure(2, ROUTES)
        for runner_id in list(world.runners)[::6]:
            drain(world, runner_id)
        world.run(CONFIG_APPLY_MS)
        assert versions(world) == {2}, f"seed {seed}"
        jobs = submit_to_ready_instances(world, 30)
        world.run(500)
        assert count_completed(jobs) == 30, f"seed {seed}"


def test_scheduler_partitioned_from_store_applies_both_changes_afterwards():
    """Guards against a scheduler with an old configuration after a partition."""
    for seed in range(8):
        world = settled_world(seed=seed)
        cut_off = scheduler_of(world)
        world.cut = lambda one, other, name=cut_off: {one, other} == {name, STORE}
        world.configure(2, ROUTES)
        world.configure(3, ROUTES)
        jobs = submit_to_ready_instances(world, 60)
        world.cut = lambda one, other: False
        world.run(CONFIG_APPLY_MS)
        assert versions(world) == {3}, f"seed {seed}"
        jobs += submit_to_ready_instances(world, 10, first=100)
        world.run(500)
        assert count_completed(jobs) >= 69, f"seed {seed}"


def test_instances_partitioned_from_store_lose_leadership_and_keep_serving():
    """Guards against two schedulers after the store dropped the leadership record.

    A third of the instances, among them the scheduler, cannot reach the store,
    which deletes the record at once. The configuration changes meanwhile.
    """
    for seed in range(8):
        world = settled_world(seed=seed)
        refused = {scheduler_of(world), *follower_names(world)[:2]}
        world.cut = lambda one, other, names=refused: (
            STORE in (one, other) and (one in names or other in names)
        )
        world.store.delete(world.documents.right_key)
        world.configure(2, ROUTES)
        jobs = submit_to_ready_instances(world, 90)
        world.cut = lambda one, other: False
        world.run(CONFIG_APPLY_MS)
        assert versions(world) == {2}, f"seed {seed}"
        jobs += submit_to_ready_instances(world, 10, first=200)
        world.run(500)
        scheduler_of(world)
        assert all(job.answers for job in jobs), f"seed {seed}"
        assert count_completed(jobs) >= 95, f"seed {seed}"


def test_fleet_survives_loss_of_half_its_instances_and_scheduler():
    """Guards against a majority that counts dead instances."""
    for seed in range(8):
        world = settled_world(seed=seed)
        jobs = [submit_order(world, n, name) for n, name in enumerate(world.instances)]
        world.run(100)
        dead = [scheduler_of(world), *follower_names(world)[:3]]
        for name in dead:
            world.kill(name)
        world.run(600)
        lookups = submit_to_ready_instances(world, 20, first=100)
        world.run(1_500)
        scheduler_of(world)
        assert count_completed(lookups) == 20, f"seed {seed}"
        alive = [
            job for n, job in enumerate(jobs) if list(world.instances)[n] not in dead
        ]
        assert count_completed(alive) == len(alive), f"seed {seed}"


def test_burst_of_urgent_jobs_precedes_all_others():
    """Load pattern: forty urgent jobs in 40 ms while long jobs wait.

    Guards against urgent jobs that are refused or late due to less urgent ones.
    """
    world = settled_world(runners=8)
    names = follower_names(world)
    orders = []
    urgent = []
    for number in range(8):
        orders.append(submit_order(world, 500 + number, names[number % len(names)]))
    for number in range(12):
        orders.append(submit_order(world, 600 + number, names[number % len(names)]))
        urgent.append(submit_lookup(world, 1 + number, names[number % len(names)]))
        world.run(3)
    world.run(2_000)
    assert all(is_completed(job) for job in urgent[:6])
    refused = [job for job in urgent if job.answer.kind is AnswerKind.REFUSED]
    assert all(job.waited_ms < 156 for job in urgent if is_completed(job))
    assert all(job.waited_ms < 100 for job in refused)
    assert all(job.answers for job in orders)
