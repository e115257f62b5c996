"""Runners that restart under their ids as another kind."""

import attrs
import pytest

from sassafrasloft.testing.fleet.tests.situations import (
    CONFIRM,
    follower_names,
    is_completed,
    scheduler_of,
    settled_world,
)
from sassafrasloft.testing.fleet.world import simple_job

NEEDED, OTHER = "kind-b", "kind-a"
DOWN_MS = 1_500
"""Long enough for the long poll of an idle runner to fail."""


def settled_world_with_kinds(**options):
    """Return a world in which every second runner is of the needed kind."""
    world = settled_world(runners=4, **options)
    for number, runner in enumerate(list(world.runners.values())):
        label = NEEDED if number % 2 else OTHER
        runner.entry = attrs.evolve(runner.entry, labels=(label,))
        world.register(runner.entry)
    world.run(1_200)
    return world


def submit_for_kind(world, number):
    request = simple_job(number, 2, 14_000, 100)
    step = attrs.evolve(request.steps[0], required_label=NEEDED)
    request = attrs.evolve(request, steps=(step,))
    names = follower_names(world)
    return world.submit(request, CONFIRM, names[number % len(names)])


def restart(world, runner_id, labels):
    """Crash a runner and start it again after a while, as another kind."""
    cut = world.cut
    world.cut = lambda one, other: runner_id in (one, other)
    world.run(DOWN_MS)
    runner = world.restart_runner(runner_id, labels)
    world.cut = cut
    return runner


def record_starts(runner):
    """Return a list to which the runs that begin on a runner are added."""
    started, audit = [], runner.on_start

    def on_start(run):
        started.append(run.task)
        audit(run)

    runner.on_start = on_start
    return started


@pytest.mark.parametrize("offset_ms", range(0, 1_000, 100))
def test_task_does_not_start_on_a_runner_that_lost_the_required_label(offset_ms):
    """Guards against the labels of a former process of a runner.

    The list of runners is read once a second, at some time after the restart.
    """
    world = settled_world_with_kinds()
    world.run(offset_ms)
    jobs = []
    for turn in range(2):
        runner_id = [
            name for name, one in world.runners.items() if NEEDED in one.entry.labels
        ][0]
        restarted = restart(world, runner_id, (OTHER,))
        started = record_starts(restarted)
        for number in range(40):
            jobs.append(submit_for_kind(world, 1 + 100 * turn + number))
            world.run(20)
        assert started == []
    world.run(500)
    assert all(job.answers for job in jobs)


def test_restarted_runner_is_used_as_soon_as_its_entry_is_read():
    """Guards against capacity that is lost until the next regular list of runners."""
    world = settled_world_with_kinds()
    runner_id = next(iter(world.runners))
    restart(world, runner_id, (OTHER,))
    pool = world.instances[scheduler_of(world)].core.board.pool
    for _ in range(60):
        world.run(10)
        view = pool.runners[runner_id]
        if view.process_started_at_ms > 0 and pool.usable(view, world.now):
            break
    assert pool.usable(view, world.now)
    assert not view.has_outdated_entry


def test_restarted_runner_is_used_again_while_the_store_is_away():
    """Guards against runners that are lost for as long as their list is old."""
    world = settled_world_with_kinds()
    runner_id = next(iter(world.runners))
    world.store_down = True
    restart(world, runner_id, (OTHER,))
    world.run(4_000)
    pool = world.instances[scheduler_of(world)].core.board.pool
    view = pool.runners[runner_id]
    assert view.has_outdated_entry
    assert pool.usable(view, world.now)
    job = submit_for_kind(world, 1)
    world.run(400)
    assert is_completed(job)
