"""Takeovers while it is unknown what the predecessor scheduler runs on some runners."""

import pytest

from sassafrasloft.instance.events import RunnerReplied, ZoneReclaimed
from sassafrasloft.runs import CommandOutcome, PollReply, RunEnd
from sassafrasloft.testing.fleet.tests.situations import (
    follower_names,
    is_completed,
    scheduler_of,
    settled_world,
    submit_lookup,
    submit_order,
)

SHED_SHARE = 0.4
"""Share of commands that an overloaded runner rejects."""
TAKEOVER_MS = 300
"""Upper limit of the time until another instance has taken over from a killed one."""


def busy_runners(world):
    """Return the ids of the runners that have runs."""
    return [name for name, one in sorted(world.runners.items()) if one.running]


def submit_orders(world, count):
    """Submit long jobs to followers and let their tasks start."""
    names = follower_names(world)
    jobs = [submit_order(world, n, names[n % len(names)]) for n in range(1, count + 1)]
    world.run(50)
    return jobs


def submit_each(world, first, count, submit, instances, gap_ms=15):
    """Submit jobs to some instances in turn."""
    jobs = []
    for number in range(count):
        instance = instances[number % len(instances)]
        jobs.append(submit(world, first + number, instance))
        world.run(gap_ms)
    return jobs


@pytest.mark.parametrize("rejecting_ms", [150, 400, 2_500])
def test_task_on_runner_that_rejects_polls_is_not_started_elsewhere(rejecting_ms):
    """Guards against a second run of tasks on runners that reject the first polls.

    A rejected poll tells nothing of the runs, but counted as contact with the runner.
    """
    world = settled_world()
    jobs = submit_orders(world, 6)
    rejecting = busy_runners(world)[:4]
    world.runner_faults.rejected_shares = dict.fromkeys(rejecting, 1.0)
    world.kill(scheduler_of(world))
    world.run(rejecting_ms)
    world.runner_faults.rejected_shares = {}
    world.run(3_000)
    assert all(job.answers for job in jobs)


@pytest.mark.parametrize("seed", range(6))
def test_scheduler_killed_while_runners_shed_load_starts_no_task_twice(seed):
    """Guards against second runs under load, with runners that reject a share of polls.

    Load pattern: the scheduler is killed twice while a sixth of the runners reject two
    fifths of all commands.
    """
    world = settled_world(runners=8, seed=seed)
    shedding = sorted(world.runners)[::6]
    world.runner_faults.rejected_shares = dict.fromkeys(shedding, SHED_SHARE)
    # The others are killed first.
    instances = sorted(follower_names(world))[-2:]
    jobs = []
    for first in (1, 41):
        jobs += submit_each(world, first, 20, submit_order, instances)
        world.kill(scheduler_of(world))
        world.run(TAKEOVER_MS)
        jobs += submit_each(world, first + 20, 20, submit_lookup, instances)
    world.run(3_000)
    assert all(job.answers for job in jobs)


def test_runner_that_rejects_first_poll_is_polled_again_soon():
    """Guards against jobs that wait for a runner that would answer the next poll.

    Load pattern: a scheduler fails while runners are overloaded. Jobs of a predecessor
    wait until all runners have told what they run.
    """
    world = settled_world()
    jobs = submit_orders(world, 4)
    rejecting = busy_runners(world)
    world.runner_faults.rejected_shares = dict.fromkeys(rejecting, 1.0)
    old = scheduler_of(world)
    world.kill(old)
    world.run(TAKEOVER_MS)
    assert scheduler_of(world) != old
    world.runner_faults.rejected_shares = {}
    world.run(100)
    board = world.instances[scheduler_of(world)].core.board
    assert all(view.contacted for view in board.pool.runners.values())
    world.run(1_500)
    assert all(is_completed(job) for job in jobs)


def test_reply_to_poll_under_earlier_token_is_no_contact():
    """Guards against trust in a list of runs from before another scheduler's use.

    After an acting scheduler had used the runners of a zone, a late reply to a poll
    from before counted as a list of all runs.
    """
    world = settled_world()
    instance = world.instances[scheduler_of(world)]
    board = instance.core.board
    view = next(one for one in board.pool.runners.values() if one.long_poll_call)
    late_call, zone = view.long_poll_call, view.entry.zone
    world.cut = lambda one, other: True
    board.leadership.zone_epochs[zone] = 1
    world.tell(instance, ZoneReclaimed(zone, 1))
    late = PollReply(
        CommandOutcome.DONE, world.runners[view.runner_id].clock(world.now)
    )
    world.tell(instance, RunnerReplied(late_call, late))
    assert not view.contacted
    assert view.runner_id in board.pool.unseen_runners(world.now, 0)
    world.cut = lambda one, other: False
    world.run(300)
    assert all(one.contacted for one in board.pool.runners.values())


def test_end_on_another_runner_does_not_end_a_run_of_the_same_number():
    """Guards against a second run of a task whose earlier run ended elsewhere.

    Each scheduler numbers the runs of a task from one. A runner that was cut off lists
    the end of the first run, while the task runs again on another one.
    """
    world = settled_world()
    old, instance = scheduler_of(world), max(follower_names(world))
    jobs = [submit_order(world, number, instance) for number in range(1, 7)]
    world.run(50)
    task = next(iter(world.runners[busy_runners(world)[-1]].running))
    idle = max(world.runners)
    assert not world.runners[idle].running
    # The jobs come after all runners have listed their runs.
    world.cut = lambda one, other: (
        instance in (one, other) and {one, other} <= set(world.instances)
    )
    world.kill(old)
    world.runners[idle].list_end(task, 1, RunEnd.STOPPED)
    world.run(40)
    board = world.instances[scheduler_of(world)].core.board
    assert task in board.pool.orphans
    world.cut = lambda one, other: False
    world.run(2_000)
    assert all(is_completed(job) for job in jobs)
