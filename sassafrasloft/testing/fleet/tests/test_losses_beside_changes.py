"""Instances that are lost or cut off beside changes of configuration and runners."""

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.testing.fleet.edges import STORE
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
"""Within this time each instance in touch applies a new configuration."""


def spread_over_ready(world, count, gap_ms=60, first=1):
    """Hand in lookups at the instances that are alive and ready."""
    jobs = []
    for number in range(count):
        ready = [
            one.name for one in world.instances.values() if one.alive and one.ready
        ]
        name = ready[number % len(ready)]
        jobs.append(submit_lookup(world, first + number, name))
        world.run(gap_ms)
    return jobs


def served(jobs):
    return sum(is_completed(job) for job in jobs)


def versions(world):
    return {
        one.core.board.configuration.current.version
        for one in world.instances.values()
        if one.alive
    }


def test_a_killed_scheduler_returns_beside_changes_and_leaving_runners():
    """Guards against new work for leaving runners after a takeover.

    The successor starts with the list of runners that it has kept; two changes come
    as the former scheduler is back, and runners of its zone leave.
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
        jobs += spread_over_ready(world, 60, first=100)
        world.run(1_000)
        assert versions(world) == {3}, f"seed {seed}"
        assert served(jobs) >= len(jobs) - 1, f"seed {seed}"
        assert all(job.answers for job in jobs), f"seed {seed}"


def test_a_scheduler_killed_as_its_successor_starts_loses_few_jobs():
    """Guards against a second kill in the time of the takeover."""
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
        assert served(jobs) >= len(jobs) - 1, f"seed {seed}"


def test_a_follower_that_returns_as_a_change_is_made_applies_it():
    """Guards against an instance that reads the list of changes too early."""
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
        jobs = spread_over_ready(world, 30)
        world.run(500)
        assert served(jobs) == 30, f"seed {seed}"


def test_a_scheduler_cut_off_from_the_store_twice_applies_both_changes():
    """Guards against an old configuration in force at the scheduler after a cut."""
    for seed in range(8):
        world = settled_world(seed=seed)
        cut_off = scheduler_of(world)
        world.cut = lambda one, other, name=cut_off: {one, other} == {name, STORE}
        world.configure(2, ROUTES)
        world.configure(3, ROUTES)
        jobs = spread_over_ready(world, 60)
        world.cut = lambda one, other: False
        world.run(CONFIG_APPLY_MS)
        assert versions(world) == {3}, f"seed {seed}"
        jobs += spread_over_ready(world, 10, first=100)
        world.run(500)
        assert served(jobs) >= 69, f"seed {seed}"


def test_instances_that_the_store_refuses_lose_their_right_and_serve_on():
    """Guards against two schedulers after the store took the right away.

    The store turns a third of the instances away, the scheduler among them, and
    drops its key at once; a change is made meanwhile.
    """
    for seed in range(8):
        world = settled_world(seed=seed)
        refused = {scheduler_of(world), *follower_names(world)[:2]}
        world.cut = lambda one, other, names=refused: (
            STORE in (one, other) and (one in names or other in names)
        )
        world.store.delete(world.documents.right_key)
        world.configure(2, ROUTES)
        jobs = spread_over_ready(world, 90)
        world.cut = lambda one, other: False
        world.run(CONFIG_APPLY_MS)
        assert versions(world) == {2}, f"seed {seed}"
        jobs += spread_over_ready(world, 10, first=200)
        world.run(500)
        scheduler_of(world)
        assert all(job.answers for job in jobs), f"seed {seed}"
        assert served(jobs) >= 95, f"seed {seed}"


def test_half_of_the_instances_killed_at_once_with_the_scheduler():
    """Guards against a majority that is counted over instances that are dead."""
    for seed in range(8):
        world = settled_world(seed=seed)
        jobs = [submit_order(world, n, name) for n, name in enumerate(world.instances)]
        world.run(100)
        dead = [scheduler_of(world), *follower_names(world)[:3]]
        for name in dead:
            world.kill(name)
        world.run(600)
        lookups = spread_over_ready(world, 20, first=100)
        world.run(1_500)
        scheduler_of(world)
        assert served(lookups) == 20, f"seed {seed}"
        alive = [
            job for n, job in enumerate(jobs) if list(world.instances)[n] not in dead
        ]
        assert served(alive) == len(alive), f"seed {seed}"


def test_urgent_jobs_that_come_at_once_go_before_all_others():
    """Load pattern: forty urgent jobs in 40 ms beside long ones that wait.

    Guards against urgent jobs that are refused or late behind less urgent ones.
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
