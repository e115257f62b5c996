"""Runners that fail or stall all starts while they continue to answer polls.

Load pattern: health checks report wrong results of either kind, errors affect the
callers of one zone, replies are lost, or the link to a runner is cut in one direction.
"""

import pytest

from sassafrasloft.standins.lease_runner import StandinTask
from sassafrasloft.testing.fleet.runner_faults import StartFault
from sassafrasloft.testing.fleet.tests.situations import (
    ORDER,
    follower_names,
    is_completed,
    on_time,
    scheduler_of,
    settled_world,
    submit_in_sequence,
    submit_order,
)
from sassafrasloft.testing.fleet.world import simple_job
from sassafrasloft.workload import Resources

RUNNERS_IN_ZONE = 4


def submit_and_finish(world, count, first=1):
    """Submit lookups one after the other and let the last ones end."""
    jobs = submit_in_sequence(world, count, first=first)
    world.run(500)
    return jobs


@pytest.mark.parametrize("fault", list(StartFault))
def test_runners_that_start_no_runs_are_avoided(fault):
    """Guards against a runner that appears free because nothing runs on it.

    It answers every poll, so that only its failed starts show the fault. Each failed
    start delays a task, and repeated starts on the runner delay many.
    """
    world = settled_world(runners=RUNNERS_IN_ZONE)
    faulty = list(world.runners)[:2]
    world.runner_faults.starts = dict.fromkeys(faulty, fault)
    jobs = submit_and_finish(world, 60)
    assert on_time(jobs) >= 50
    assert all(is_completed(job) for job in jobs)


@pytest.mark.parametrize("fault", [StartFault.RESET, StartFault.HUNG])
def test_runners_without_start_replies_are_tried_with_growing_backoff(fault):
    """Guards against starts that are lost on the same runner repeatedly."""
    world = settled_world(runners=RUNNERS_IN_ZONE)
    faulty = list(world.runners)[:2]
    world.runner_faults.starts = dict.fromkeys(faulty, fault)
    submit_and_finish(world, 60)
    # Two tasks fit on a runner; the third lost start leads to a quarantine. Then one
    # task tries the runner after each quarantine. These double from 1 s, so that the
    # tries follow after 1 and 3 of the 4 s.
    assert max(world.runner_faults.affected_starts.values()) <= 8


def test_recovered_runners_are_used_again_after_quarantine():
    """Guards against a quarantine that outlasts the fault by many seconds."""
    world = settled_world(runners=RUNNERS_IN_ZONE)
    faulty = list(world.runners)[0]
    world.runner_faults.starts = {faulty: StartFault.RESET}
    submit_and_finish(world, 20)
    world.runner_faults.starts = {}
    world.run(
        world.instances[scheduler_of(world)].core.board.tuning.longest_quarantine_ms
    )
    submit_and_finish(world, 40, first=100)
    view = world.instances[scheduler_of(world)].core.board.pool.runners[faulty]
    assert view.excluded_until <= world.now
    assert view.quarantines == 0


def test_health_checks_do_not_exclude_healthy_runners():
    """Guards against trust in health checks, which may fail for a healthy runner.

    Only the results of runs decide, so that no runner command asks for a health check.
    """
    world = settled_world(runners=RUNNERS_IN_ZONE)
    jobs = submit_and_finish(world, 30)
    assert on_time(jobs) == 30
    board = world.instances[scheduler_of(world)].core.board
    assert all(
        board.pool.usable(view, board.now) for view in board.pool.runners.values()
    )


def test_start_errors_in_scheduler_zone_do_not_fail_jobs():
    """Guards against job failures from runners that fail only for the scheduler.

    The jobs of all zones go to one scheduler, and only its zone gets the errors.
    """
    for seed in range(4):
        world = settled_world(runners=RUNNERS_IN_ZONE, seed=seed)
        zone = world.instances[scheduler_of(world)].zone
        faulty = list(world.runners)[::4]
        world.runner_faults.starts = dict.fromkeys(faulty, StartFault.REFUSED)
        world.runner_faults.affected_zone = zone
        jobs = submit_and_finish(world, 40)
        assert all(is_completed(job) for job in jobs), f"seed {seed}"
        assert on_time(jobs) >= 36, f"seed {seed}"


def test_lost_runner_replies_start_no_task_twice_and_fail_no_job():
    """Guards against a run that began although its start counts as failed."""
    for seed in range(10):
        world = settled_world(runners=RUNNERS_IN_ZONE, seed=seed)
        half = list(world.runners)[::2]
        world.runner_faults.lost_reply_shares = dict.fromkeys(half, 0.05)
        jobs = submit_and_finish(world, 60)
        assert all(is_completed(job) for job in jobs), f"seed {seed}"
        assert on_time(jobs) >= 48, f"seed {seed}"


def test_runners_behind_one_way_link_are_avoided_until_it_heals():
    """Guards against leases that are renewed over a one-way link.

    Commands arrive and no reply returns. Runs there must end when their leases
    expire, and only then may their tasks start elsewhere.
    """
    for seed in range(10):
        world = settled_world(runners=RUNNERS_IN_ZONE, seed=seed)
        jobs = submit_and_finish(world, 5)
        cut = list(world.runners)[:2]
        world.runner_faults.lost_reply_shares = dict.fromkeys(cut, 1.0)
        world.run(1_500)
        during = submit_and_finish(world, 20, first=100)
        world.runner_faults.lost_reply_shares = {}
        world.run(1_000)
        after = submit_and_finish(world, 20, first=200)
        assert all(is_completed(job) for job in jobs + during + after), f"seed {seed}"
        assert on_time(during) >= 19, f"seed {seed}"
        assert on_time(after) >= 19, f"seed {seed}"
        assert all(world.runners[one].token for one in cut)


def test_orders_on_stalled_runners_complete_on_time_elsewhere():
    """Guards against stalled long tasks that are detected only when long overdue.

    An order takes 900 ms and its caller waits 1,500 ms. A run without progress has to
    be detected in 500 ms, or in half of that if the next runner fails, too.
    """
    world = settled_world(runners=RUNNERS_IN_ZONE)
    for runner_id in list(world.runners)[::5]:
        world.runners[runner_id].hangs = True
    orders = submit_in_sequence(world, 20, gap_ms=150, submit=submit_order)
    world.run(2_500)
    assert sum(is_completed(job) and job.waited_ms <= 1_500 for job in orders) == 20


def test_order_whose_runs_stall_midway_completes_elsewhere():
    """Guards against the assumption that progress continues once it has begun."""
    world = settled_world(runners=RUNNERS_IN_ZONE)
    job = simple_job(1, 2, 14_000, 900)
    order = world.submit(job, ORDER, follower_names(world)[0], deadline_ms=4_000)
    world.run(300)
    for runner in world.runners.values():
        for run in runner.running.values():
            runner.halt(run, world.now)
    world.run(2_500)
    assert is_completed(order)
    assert order.waited_ms <= 2_000
    board = world.instances[scheduler_of(world)].core.board
    assert any(view.quarantines for view in board.pool.runners.values())


@pytest.mark.parametrize("duration_ms", [3_600, 9_000])
def test_tasks_much_longer_than_declared_do_not_count_as_stalled(duration_ms):
    """Guards against discarding work because its progress is slow.

    Users state that healthy tasks take at most four times the declared 900 ms.
    """
    world = settled_world(runners=RUNNERS_IN_ZONE)
    jobs = []
    for number in range(1, 9):
        for task in range(2):
            name = f"{number:016x}.0.0.{task}"
            world.task_overrides[name] = StandinTask(
                Resources(14_000, 64, 0), duration_ms
            )
        jobs.append(submit_order(world, number, follower_names(world)[number % 7]))
    world.run(duration_ms + 1_500)
    assert all(world.audit.starts[job.job.job_id] == 2 for job in jobs)
