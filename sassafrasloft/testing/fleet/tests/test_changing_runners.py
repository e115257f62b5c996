"""Runners that are added, drain at short notice, are replaced, or flap."""

from sassafrasloft.testing.fleet.tests.situations import (
    drain,
    is_completed,
    on_time,
    settled_world,
    submit_in_sequence,
    submit_order,
)

CAPACITY = 32_000


def remove(world, runner_id):
    """End a runner with its runs, and delete its entry."""
    runner = world.runners.pop(runner_id)
    runner.advance(world.now)
    world.audit.record_runner_crash(runner)
    world.unregister(runner_id)


def test_runners_with_flapping_links_lose_few_jobs():
    """Guards against tasks that stay on a runner whenever it is unreachable."""
    period_ms = 1_400
    world = settled_world(runners=4)
    flapping = list(world.runners)[::4]
    began = world.now

    def down(one, other):
        is_down = (world.now - began) % period_ms < period_ms / 2
        return is_down and (one in flapping or other in flapping)

    world.cut = down
    jobs = submit_in_sequence(world, 100)
    world.cut = lambda one, other: False
    world.run(2_000)
    assert all(is_completed(job) for job in jobs)
    assert on_time(jobs) >= 90


def test_runners_that_repeatedly_crash_and_restart_lose_few_jobs():
    """Guards against tasks that wait for the lease of a crashed incarnation."""
    world = settled_world(runners=4)
    flapping = list(world.runners)[::4]
    jobs = []
    for turn in range(5):
        for runner_id in flapping:
            remove(world, runner_id)
        jobs += submit_in_sequence(world, 12, first=100 * turn)
        for runner_id in flapping:
            zone = runner_id.split("-")[1]
            world.add_runner(runner_id, zone, CAPACITY, process_started_at_ms=world.now)
        jobs += submit_in_sequence(world, 12, first=100 * turn + 50)
    world.run(2_000)
    assert all(is_completed(job) for job in jobs)
    assert on_time(jobs) >= 105


def test_added_runners_get_work_within_a_list_period():
    """Guards against refusals while newly added runners are idle."""
    world = settled_world({"north": 2}, runners=1)
    for number in range(4):
        world.add_runner(f"added-{number}", "north", CAPACITY)
    world.run(1_200)
    jobs = submit_in_sequence(world, 4, gap_ms=0, submit=submit_order)
    world.run(1_500)
    assert all(is_completed(job) for job in jobs)
    assert {one for one in world.runners if world.runners[one].token} == set(
        world.runners
    )


def test_runners_removed_at_two_seconds_notice_lose_no_job():
    """Guards against starts on a runner that is removed before they can end."""
    for seed in range(6):
        world = settled_world(runners=4, seed=seed)
        leaving = list(world.runners)[::4]
        for runner_id in leaving:
            drain(world, runner_id, remaining_ms=2_000)
        jobs = submit_in_sequence(world, 20, gap_ms=100, submit=submit_order)
        for runner_id in leaving:
            remove(world, runner_id)
        lookups = submit_in_sequence(world, 20, first=100)
        world.run(2_000)
        for number in range(len(leaving)):
            world.add_runner(f"new-{number}", "north", CAPACITY)
        world.run(1_200)
        lookups += submit_in_sequence(world, 20, first=200)
        world.run(500)
        done = sum(is_completed(job) for job in jobs)
        assert done == 20, f"seed {seed}"
        assert on_time(lookups) >= 38, f"seed {seed}"


def test_removal_of_all_runners_of_a_zone_loses_few_jobs():
    """Guards against refused or late jobs while two zones have enough capacity."""
    world = settled_world(runners=6)
    leaving = [one for one in world.runners if "-north-" in one]
    for runner_id in leaving:
        drain(world, runner_id, remaining_ms=2_500)
    jobs = submit_in_sequence(world, 40)
    for runner_id in leaving:
        remove(world, runner_id)
    jobs += submit_in_sequence(world, 60, first=100)
    world.run(1_000)
    assert all(is_completed(job) for job in jobs)
    assert on_time(jobs) >= 98


def test_replacing_runners_three_at_a_time_loses_no_job():
    """Guards against capacity lost between a runner and its replacement."""
    for seed in range(4):
        world = settled_world(runners=4, seed=seed)
        old = list(world.runners)
        jobs = []
        for turn in range(2):
            leaving = old[3 * turn : 3 * turn + 3]
            for runner_id in leaving:
                zone = world.runners[runner_id].entry.zone
                world.add_runner(f"{runner_id}-next", zone, CAPACITY)
                drain(world, runner_id)
            jobs += submit_in_sequence(world, 42, first=1 + 100 * turn)
            for runner_id in leaving:
                remove(world, runner_id)
        world.run(1_000)
        assert all(is_completed(job) for job in jobs), f"seed {seed}"
        assert on_time(jobs) >= 82, f"seed {seed}"
