"""Runners that fail or stall all starts while they go on answering holds.

Load pattern: health answers are false either way, errors meet the callers of one
zone, answers are lost, or the link to a runner is cut in one direction.
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


def spread_to_the_end(world, count, first=1):
    """Hand in lookups one after the other and let the last ones end."""
    jobs = submit_in_sequence(world, count, first=first)
    world.run(500)
    return jobs


@pytest.mark.parametrize("fault", list(StartFault))
def test_runners_that_start_nothing_are_left_alone(fault):
    """Guards against a runner that looks free, since nothing runs on it.

    It answers each hold, so that only its starts show the fault. Each start that
    meets the fault delays a task; a runner that is tried again and again delays
    many.
    """
    world = settled_world(runners=RUNNERS_IN_ZONE)
    faulty = list(world.runners)[:2]
    world.runner_faults.starts = dict.fromkeys(faulty, fault)
    jobs = spread_to_the_end(world, 60)
    assert on_time(jobs) >= 50
    assert all(is_completed(job) for job in jobs)


@pytest.mark.parametrize("fault", [StartFault.RESET, StartFault.HUNG])
def test_runners_that_answer_no_start_are_tried_ever_more_rarely(fault):
    """Guards against starts that are lost on one runner again and again."""
    world = settled_world(runners=RUNNERS_IN_ZONE)
    faulty = list(world.runners)[:2]
    world.runner_faults.starts = dict.fromkeys(faulty, fault)
    spread_to_the_end(world, 60)
    # Two tasks fit on a runner, which is found out by the third loss. Then one task
    # tries it after each quarantine, which doubles from 1 s: after 1 and 3 of the 4 s.
    assert max(world.runner_faults.affected_starts.values()) <= 8


def test_runners_that_start_nothing_are_used_again_once_they_are_well():
    """Guards against a quarantine that outlasts its cause by many seconds."""
    world = settled_world(runners=RUNNERS_IN_ZONE)
    faulty = list(world.runners)[0]
    world.runner_faults.starts = {faulty: StartFault.RESET}
    spread_to_the_end(world, 20)
    world.runner_faults.starts = {}
    world.run(
        world.instances[scheduler_of(world)].core.board.tuning.longest_quarantine_ms
    )
    spread_to_the_end(world, 40, first=100)
    view = world.instances[scheduler_of(world)].core.board.pool.runners[faulty]
    assert view.excluded_until <= world.now
    assert view.quarantines == 0


def test_no_health_answer_keeps_work_from_a_runner_that_is_well():
    """Guards against trust in health answers: they may say "ill" of a sound runner.

    Only the results of work decide, so that no order asks for a health answer.
    """
    world = settled_world(runners=RUNNERS_IN_ZONE)
    jobs = spread_to_the_end(world, 30)
    assert on_time(jobs) == 30
    board = world.instances[scheduler_of(world)].core.board
    assert all(
        board.pool.usable(view, board.now) for view in board.pool.runners.values()
    )


def test_errors_that_meet_only_one_zone_spare_the_callers_of_others():
    """Guards against a scheduler that gives up runners which fail only for it.

    The jobs of all zones go to one scheduler, whose zone alone meets the errors.
    """
    for seed in range(4):
        world = settled_world(runners=RUNNERS_IN_ZONE, seed=seed)
        zone = world.instances[scheduler_of(world)].zone
        faulty = list(world.runners)[::4]
        world.runner_faults.starts = dict.fromkeys(faulty, StartFault.REFUSED)
        world.runner_faults.affected_zone = zone
        jobs = spread_to_the_end(world, 40)
        assert all(is_completed(job) for job in jobs), f"seed {seed}"
        assert on_time(jobs) >= 36, f"seed {seed}"


def test_lost_answers_start_nothing_twice_and_fail_no_job():
    """Guards against a run that began and whose start is taken for not begun."""
    for seed in range(10):
        world = settled_world(runners=RUNNERS_IN_ZONE, seed=seed)
        half = list(world.runners)[::2]
        world.runner_faults.lost_reply_shares = dict.fromkeys(half, 0.05)
        jobs = spread_to_the_end(world, 60)
        assert all(is_completed(job) for job in jobs), f"seed {seed}"
        assert on_time(jobs) >= 48, f"seed {seed}"


def test_runners_that_hear_and_cannot_answer_are_avoided_until_the_cut_ends():
    """Guards against leases that are prolonged over a link that works one way.

    Orders arrive and nothing comes back: what runs there must end by its lease,
    and its tasks start elsewhere only then.
    """
    for seed in range(10):
        world = settled_world(runners=RUNNERS_IN_ZONE, seed=seed)
        jobs = spread_to_the_end(world, 5)
        cut = list(world.runners)[:2]
        world.runner_faults.lost_reply_shares = dict.fromkeys(cut, 1.0)
        world.run(1_500)
        during = spread_to_the_end(world, 20, first=100)
        world.runner_faults.lost_reply_shares = {}
        world.run(1_000)
        after = spread_to_the_end(world, 20, first=200)
        assert all(is_completed(job) for job in jobs + during + after), f"seed {seed}"
        assert on_time(during) >= 19, f"seed {seed}"
        assert on_time(after) >= 19, f"seed {seed}"
        assert all(world.runners[one].token for one in cut)


def test_orders_on_runners_where_work_stands_still_are_in_time_elsewhere():
    """Guards against long tasks that are noticed only when they are long overdue.

    An order takes 900 ms, and its caller waits 1,500: a run that makes no progress has
    to be noticed in 500, or in half of that if the next runner fails, too.
    """
    world = settled_world(runners=RUNNERS_IN_ZONE)
    for runner_id in list(world.runners)[::5]:
        world.runners[runner_id].hangs = True
    orders = submit_in_sequence(world, 20, gap_ms=150, submit=submit_order)
    world.run(2_500)
    assert sum(is_completed(job) and job.waited_ms <= 1_500 for job in orders) == 20


def test_an_order_whose_runner_comes_to_a_halt_midway_ends_elsewhere():
    """Guards against progress that is taken for granted once it has begun."""
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
def test_tasks_that_last_much_longer_are_not_taken_for_stalled(duration_ms):
    """Guards against work that is thrown away since its progress is slow.

    Four times the declared 900 ms is the most that the users name for sound tasks.
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
