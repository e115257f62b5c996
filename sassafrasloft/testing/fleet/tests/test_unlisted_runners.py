"""Takeovers while the store's list lacks runners that the scheduler still uses."""

from collections import Counter

import pytest

from sassafrasloft.instance.commands import SendMessage
from sassafrasloft.instance.messages import Heartbeat
from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.leadership import Role, followers
from sassafrasloft.testing.fleet.tests.situations import (
    ORDER,
    follower_names,
    is_completed,
    observe_commands,
    scheduler_of,
    settled_world,
    submit_order,
)
from sassafrasloft.testing.fleet.tests.test_partitions import isolate_zone, zone_of
from sassafrasloft.testing.fleet.tests.test_predecessor_runs import (
    TAKEOVER_MS,
    busy_runners,
)
from sassafrasloft.testing.fleet.tests.test_takeover_chains import (
    change_schedulers,
    heal,
    kill,
    stop,
    wait_for_successor,
)
from sassafrasloft.testing.fleet.world import simple_job

TASK_MS = 8_000
"""Longer than the time from the loss of an entry to the last of some takeovers."""
DEADLINE_MS = 20_000
ALL_LISTS_READ_MS = Tuning().standby_list_ms + 100
"""Time after which all instances have read the list of runners again."""


def submit_long_job(world, number, instance, task_ms=TASK_MS):
    """Submit a job of one long task."""
    job = simple_job(number, 1, 14_000, task_ms)
    return world.submit(job, ORDER, instance, DEADLINE_MS)


def start_long_job(world, number=1, instance=None, task_ms=TASK_MS):
    """Start a long task; return its job and the id of its runner."""
    before = set(busy_runners(world))
    instance = instance or max(follower_names(world))
    job = submit_long_job(world, number, instance, task_ms)
    world.run(50)
    (runner_id,) = set(busy_runners(world)) - before
    return job, runner_id


def finish(world, job):
    """Run until a job has ended; it must be complete, after one run of its task."""
    world.run(TASK_MS + 500)
    assert is_completed(job)
    assert world.audit.starts[job.job.job_id] == 1


def pool_of_scheduler(world):
    """Return the runners as the scheduler knows them."""
    return world.instances[scheduler_of(world)].core.board.pool


@pytest.mark.parametrize("action", [kill, stop])
@pytest.mark.parametrize("missing_ms", [30, 500, 1_100, 2_500, 3_200, 5_000])
def test_task_on_runner_whose_entry_expired_is_not_started_elsewhere(
    action, missing_ms
):
    """Guards against a second run of tasks on a runner that the store does not list.

    The scheduler went on using the runner. The next one took its own list, which
    lacked the runner, for all runners that may have runs.
    """
    world = settled_world()
    job, runner_id = start_long_job(world)
    world.unregister(runner_id)
    world.run(missing_ms)
    action(world, scheduler_of(world))
    finish(world, job)


@pytest.mark.parametrize("gap_ms", [0, 50, 400, 2_000])
@pytest.mark.parametrize("actions", [(kill, kill), (stop, kill), (kill, stop, kill)])
def test_unlisted_runner_stays_known_through_takeovers_in_a_row(actions, gap_ms):
    """Guards against successors that do not pass on runners outside their lists."""
    world = settled_world()
    job, runner_id = start_long_job(world)
    world.unregister(runner_id)
    world.run(ALL_LISTS_READ_MS)
    change_schedulers(world, actions, gap_ms)
    finish(world, job)


@pytest.mark.parametrize("up_ms", [150, 1_200, 4_000])
def test_scheduler_that_never_listed_a_runner_learns_of_it(up_ms):
    """Guards against a second run if the successor started after an entry expired.

    It has cores enough to be the first of the candidates.
    """
    new = "north-new"
    world = settled_world(cores={new: 4.0})
    job, runner_id = start_long_job(world)
    world.unregister(runner_id)
    world.run(ALL_LISTS_READ_MS)
    world.start_instance(new, "north")
    world.run(up_ms)
    kill(world, scheduler_of(world))
    world.run(TAKEOVER_MS)
    assert scheduler_of(world) == new
    finish(world, job)


@pytest.mark.parametrize("cut_ms", [2_500, 6_000])
def test_runner_unlisted_while_scheduler_cannot_read_the_list_stays_known(cut_ms):
    """Guards against followers that forget runners of a scheduler with an old list.

    The scheduler is partitioned from the store alone, and is then killed.
    """
    world = settled_world()
    scheduler = scheduler_of(world)
    job, runner_id = start_long_job(world)
    world.cut = lambda one, other: {scheduler, "store"} == {one, other}
    world.unregister(runner_id)
    world.run(cut_ms)
    assert scheduler_of(world) == scheduler
    kill(world, scheduler)
    heal(world)
    wait_for_successor(world, scheduler)
    finish(world, job)


@pytest.mark.parametrize("frozen_ms", [700, 1_500])
def test_suspended_scheduler_passes_on_its_unlisted_runners(frozen_ms):
    """Guards against a second run after a scheduler that was suspended steps down."""
    world = settled_world()
    scheduler = scheduler_of(world)
    job, runner_id = start_long_job(world)
    world.unregister(runner_id)
    world.run(ALL_LISTS_READ_MS)
    world.freeze(scheduler)
    world.run(frozen_ms)
    world.thaw(scheduler)
    # The lease of the run ends while nobody renews it.
    world.run(TASK_MS * 2)
    assert is_completed(job)


@pytest.mark.parametrize("missing_ms", [1_200, ALL_LISTS_READ_MS])
@pytest.mark.parametrize("seed", range(3))
def test_runners_of_an_isolated_zone_without_entries_are_not_overlooked(
    missing_ms, seed
):
    """Guards against second runs of tasks in a zone whose runners' entries expired.

    The scheduler is in the zone, which is cut off shortly after.
    """
    world = settled_world(seed=seed)
    zone = zone_of(world, scheduler_of(world))
    outside = [name for name in follower_names(world) if zone_of(world, name) != zone]
    jobs = [
        submit_long_job(world, number, outside[number % len(outside)])
        for number in range(1, 25)
    ]
    world.run(50)
    for name in world.runners:
        if zone_of(world, name) == zone:
            world.unregister(name)
    world.run(missing_ms)
    isolate_zone(world, zone, True)
    world.run(DEADLINE_MS)
    assert all(job.answers for job in jobs)


def test_unlisted_runner_gets_no_further_tasks_from_the_next_scheduler():
    """Guards against the use of a runner that has left, after a takeover."""
    world = settled_world(runners=1)
    job, runner_id = start_long_job(world)
    world.unregister(runner_id)
    world.run(ALL_LISTS_READ_MS)
    kill(world, scheduler_of(world))
    world.run(TAKEOVER_MS)
    world.kill(scheduler_of(world))
    world.run(TAKEOVER_MS)
    for number in range(2, 8):
        submit_order(world, number, max(follower_names(world)))
    world.run(100)
    assert [one.partition(".")[0] for one in world.runners[runner_id].running] == [
        job.job.job_id
    ]
    finish(world, job)


def test_runners_that_left_are_forgotten():
    """Guards against takeovers that wait for runners that left long ago.

    Jobs of the predecessor wait until each runner that may have runs has answered.
    """
    world = settled_world()
    gone = [name for name in world.runners if name.startswith("runner-west")]
    for name in gone:
        world.unregister(name)
    world.cut = lambda one, other: one in gone or other in gone
    world.run(ALL_LISTS_READ_MS + 2_000)
    job = submit_order(world, 1, max(follower_names(world)))
    world.run(50)
    kill(world, scheduler_of(world))
    world.run(TAKEOVER_MS)
    pool = pool_of_scheduler(world)
    assert not set(gone) & set(pool.runners)
    world.run(900)
    assert is_completed(job)


def test_runner_that_registers_again_is_used_again():
    """Guards against runners that stay excluded after their entry has returned."""
    world = settled_world()
    job, runner_id = start_long_job(world)
    world.unregister(runner_id)
    world.run(ALL_LISTS_READ_MS)
    kill(world, scheduler_of(world))
    world.run(TAKEOVER_MS)
    world.register(world.runners[runner_id].entry)
    world.run(1_200)
    pool = pool_of_scheduler(world)
    assert pool.usable(pool.runners[runner_id], world.now)
    world.run(ALL_LISTS_READ_MS)
    for one in world.instances.values():
        if one.alive:
            assert runner_id not in one.core.board.unlisted_runners.known
    finish(world, job)


def test_reports_to_followers_are_spread_over_heartbeats(monkeypatch):
    """Guards against late heartbeats while many runners do not reach the store.

    A report on all of them to all followers at once would fill the scheduler's link.
    """
    runners, limit = 12, 30
    monkeypatch.setattr(followers, "UNLISTED_RUNNERS_PER_HEARTBEAT", limit)
    world = settled_world(runners=runners // 3)
    start_long_job(world)
    pool = pool_of_scheduler(world)
    sent = Counter()

    told = set()

    def record(command, now):
        if isinstance(command, SendMessage) and isinstance(command.message, Heartbeat):
            beat = command.message
            if beat.unlisted_runners:
                told.add(command.stream_id)
                sent[now] += len(beat.unlisted_runners)
            # A revision without the report would let the follower forget the runners.
            assert not (told and beat.runner_list_revision) or command.stream_id in told

    observe_commands(world, record)
    for view in pool.runners.values():
        # As after a takeover, before a runner has listed its runs.
        view.no_contact_since = world.now + 1_000
    for name in world.runners:
        world.unregister(name)
    world.run(1_500)
    assert sum(sent.values()) == runners * len(follower_names(world))
    assert max(sent.values()) < limit + runners


def test_follower_offers_unlisted_runners_before_its_jobs():
    """Guards against a scheduler that learns of a runner by none of its own means.

    It gets no tasks there before the runner is listed.
    """
    world = settled_world()
    runner = world.add_runner("runner-unlisted", "north", 32_000)
    world.unregister("runner-unlisted")
    knowing = world.instances[max(follower_names(world))].core.board
    knowing.unlisted_runners.remember([runner.entry], world.store.revision + 1_000)
    kill(world, scheduler_of(world))
    world.run(TAKEOVER_MS)
    assert scheduler_of(world) != knowing.settings.name
    pool = pool_of_scheduler(world)
    view = pool.runners["runner-unlisted"]
    assert view.contacted
    assert not pool.usable(view, world.now)


def test_scheduler_that_steps_down_remembers_its_unlisted_runners():
    """Guards against a second run if it schedules again before it followed another."""
    world = settled_world()
    scheduler = scheduler_of(world)
    _, runner_id = start_long_job(world)
    world.unregister(runner_id)
    world.run(ALL_LISTS_READ_MS)
    world.freeze(scheduler)
    world.run(700)
    world.thaw(scheduler)
    board = world.instances[scheduler].core.board
    assert not board.pool.active
    assert [one.runner_id for one in board.unlisted_runners.remembered] == [runner_id]


def test_first_reports_of_a_new_scheduler_let_nothing_be_forgotten():
    """Guards against a report that the new scheduler sent before it got offers."""
    world = settled_world()
    follower = max(follower_names(world))
    unlisted = world.instances[follower].core.board.unlisted_runners
    unlisted.remember([world.runners["runner-west-0"].entry], 0)
    kill(world, scheduler_of(world))
    world.run(TAKEOVER_MS)
    unlisted.apply_report((), world.store.revision, world.now)
    assert unlisted.remembered


def test_list_after_an_outage_of_the_store_counts_as_incomplete():
    """Guards against followers that forget runners by a list that was filled up.

    For some time the scheduler takes entries from before the outage for listed ones.
    """
    world = settled_world()
    world.store_down = True
    world.run(3_000)
    world.store_down = False
    world.run(1_500)
    pool = pool_of_scheduler(world)
    assert pool.list_revision == 0
    world.run(3_000)
    assert pool.list_revision > 0


def test_acting_scheduler_takes_over_a_zone_without_entries():
    """Guards against an old fencing token for runners that only are remembered.

    What it reports of its own runners lets nobody forget others.
    """
    world = settled_world()
    instance = max(follower_names(world))
    for number in range(1, 25):
        submit_long_job(world, number, instance)
    world.run(50)
    for name in world.runners:
        if zone_of(world, name) == "west":
            world.unregister(name)
    world.run(ALL_LISTS_READ_MS)
    world.store_down = True
    old = scheduler_of(world)
    kill(world, old)
    revisions = []

    def record(command, now):
        if isinstance(command, SendMessage) and isinstance(command.message, Heartbeat):
            revisions.append(command.message.runner_list_revision)

    observe_commands(world, record)
    world.run(1_500)
    (acting,) = [
        one.core.board.leadership
        for one in world.instances.values()
        if one.alive and one.core.board.leadership.role is Role.ACTING
    ]
    assert "west" in acting.zone_epochs
    assert revisions
    assert not any(revisions)
