"""Stops of runs that runners reject or do not answer.

Load pattern: a runner is overloaded or unreachable for a while, and meanwhile runs on
it have to stop: their jobs were cancelled, or belong to another scheduler.
"""

import pytest

from sassafrasloft.instance.commands import CallRunner
from sassafrasloft.runs import CommandOutcome, StopRun
from sassafrasloft.testing.fleet.tests.situations import (
    ORDER,
    follower_names,
    observe_commands,
    scheduler_of,
    settled_world,
    submit_lookup,
    submit_order,
)
from sassafrasloft.testing.fleet.tests.test_cancelled_jobs import cancel
from sassafrasloft.testing.fleet.tests.test_partitions import isolate_zone, zone_of
from sassafrasloft.testing.fleet.world import simple_job

ZONES = {"north": 3, "south": 3, "west": 3}
LONG_MS = 9_000
"""Duration of the tasks, many times the lease of a run."""
PATIENCE_MS = 15_000
MILLICORES = 4_000
"""Eight such tasks fit on a runner."""
LEASE_MS = 1_000
"""Longest lease that runners grant."""
STOP_MS = 200
"""Limit of the time in which a run ends once its runner accepts stops: a few attempts,
and the 50 ms that a stop may take."""


def submit_long_jobs(world, count, instances):
    """Submit jobs of one long task each, to some instances in turn."""
    for number in range(1, count + 1):
        job = simple_job(number, 1, MILLICORES, LONG_MS)
        instance = instances[number % len(instances)]
        world.submit(job, ORDER, instance, PATIENCE_MS)
        world.run(20)
    world.run(200)


def runs_of(world, job_id):
    """Return the ids of the runners that run a task of a job."""
    return [
        name
        for name, one in world.runners.items()
        if any(task.startswith(job_id) for task in one.running)
    ]


def reject_stops(world, runner_ids, outcome=CommandOutcome.UNHEALTHY):
    """Let runners reject all stops, and execute all other commands."""
    world.runner_faults.stops = dict.fromkeys(runner_ids, outcome)


def cancel_one_of_several(world):
    """Cancel a job whose runner has tasks of other jobs; return its id and runner."""
    submit_long_jobs(world, 4, follower_names(world))
    name = next(name for name, one in world.runners.items() if len(one.running) > 1)
    job_id = next(iter(world.runners[name].running)).partition(".")[0]
    return job_id, name


def stops_sent(world):
    """Return a list to which each stop that an instance sends is added."""
    stops = []

    def record(command, now):
        if isinstance(command, CallRunner) and isinstance(command.order, StopRun):
            stops.append((now, command.order))

    observe_commands(world, record)
    return stops


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("share", [0.5, 0.9, 1.0])
def test_cut_off_scheduler_starts_no_task_whose_run_rejects_its_stop(seed, share):
    """Guards against a run that goes on beside the one that its scheduler starts.

    The scheduler's zone is cut off. Outside of it another scheduler finds runs of jobs
    that nobody submits there, and its stops are rejected.
    """
    world = settled_world(ZONES, runners=4, seed=seed)
    scheduler = scheduler_of(world)
    zone = zone_of(world, scheduler)
    inside = [name for name in world.instances if zone_of(world, name) == zone]
    outside = [name for name in world.instances if zone_of(world, name) != zone]
    submit_long_jobs(world, 48, [*inside, *outside])
    runners = [name for name in world.runners if zone_of(world, name) != zone]
    if share < 1.0:
        world.runner_faults.rejected_shares = dict.fromkeys(runners, share)
    else:
        reject_stops(world, runners)
    isolate_zone(world, zone, with_store=True)
    world.run(5_000)
    assert world.instances[scheduler].core.board.counters["runs_lapsed"]
    world.cut = lambda one, other: False
    world.runner_faults.rejected_shares = {}
    world.runner_faults.stops = {}
    world.run(3_000)


@pytest.mark.parametrize("seed", range(8))
def test_cut_off_scheduler_whose_streams_were_reset_waits_for_its_successor(seed):
    """Guards against a scheduler that forgets its followers and counts as followed.

    A member whose stream was reset is taken for failed after a second, so that the
    instances of the cut-off zone alone are a majority.
    """
    world = settled_world(ZONES, runners=4, seed=seed)
    zone = zone_of(world, scheduler_of(world))
    submit_long_jobs(world, 48, list(world.instances))
    world.run(30 * seed)
    reject_stops(world, [one for one in world.runners if zone_of(world, one) != zone])
    isolate_zone(world, zone, with_store=True)
    world.reset_streams()
    world.run(5_000)


@pytest.mark.parametrize("seed", range(4))
def test_cut_off_scheduler_ends_jobs_of_others_whose_stop_is_rejected(seed):
    """Guards against a run that its cut-off scheduler neither stops nor lets lapse.

    The instances outside of the zone submit their jobs to another scheduler, which
    starts them once the leases of the first one have ended.
    """
    world = settled_world(ZONES, runners=4, seed=seed)
    zone = zone_of(world, scheduler_of(world))
    inside = [name for name in world.instances if zone_of(world, name) == zone]
    outside = [name for name in world.instances if zone_of(world, name) != zone]
    submit_long_jobs(world, 48, [*inside, *outside])
    reject_stops(world, [one for one in world.runners if zone_of(world, one) == zone])
    isolate_zone(world, zone, with_store=True)
    world.run(5_000)


@pytest.mark.parametrize("seed", range(4))
def test_acting_scheduler_prolongs_no_run_that_rejects_its_stop(seed):
    """Guards against leases that an acting scheduler renews for its own runs.

    A lease holds for all runs on a runner. The scheduler of the other zones takes its
    runs in the cut-off zone for ended when their leases have expired.
    """
    world = settled_world(ZONES, runners=4, seed=seed)
    scheduler = scheduler_of(world)
    zone = next(one for one in ZONES if one != zone_of(world, scheduler))
    submit_long_jobs(world, 48, list(world.instances))
    reject_stops(world, [one for one in world.runners if zone_of(world, one) == zone])
    isolate_zone(world, zone, with_store=True)
    world.run(5_000)


@pytest.mark.parametrize(
    "outcome",
    [
        CommandOutcome.UNHEALTHY,
        CommandOutcome.INVALID,
        CommandOutcome.UNKNOWN,
        CommandOutcome.NOT_SENT,
    ],
)
def test_stop_of_a_cancelled_job_is_repeated_until_it_is_confirmed(outcome):
    """Guards against cancelled jobs that work on after one stop without success."""
    world = settled_world()
    job_id, runner = cancel_one_of_several(world)
    reject_stops(world, [runner], outcome)
    cancel(world, job_id, follower_names(world)[0])
    world.run(300)
    assert runs_of(world, job_id) == [runner]
    world.runner_faults.stops = {}
    world.run(STOP_MS)
    assert runs_of(world, job_id) == []


def test_run_whose_stop_is_never_confirmed_lapses():
    """Guards against a lease that is renewed for other runs on the same runner.

    Polls renew it, and starts of further runs do.
    """
    world = settled_world()
    instance = follower_names(world)[0]
    job_id, runner = cancel_one_of_several(world)
    reject_stops(world, [runner])
    cancel(world, job_id, instance)
    for number in range(100, 130):
        submit_lookup(world, number, instance)
        world.run((LEASE_MS + STOP_MS) / 30)
    assert runs_of(world, job_id) == []
    world.run(2_000)
    board = world.instances[scheduler_of(world)].core.board
    view = board.pool.runners[runner]
    assert board.pool.usable(view, board.now)


@pytest.mark.parametrize("outcome", [CommandOutcome.UNHEALTHY, CommandOutcome.UNKNOWN])
def test_stops_that_fail_at_once_are_sent_with_pauses(outcome):
    """Guards against thousands of stops to a runner that resets or rejects them."""
    world = settled_world()
    job_id, runner = cancel_one_of_several(world)
    reject_stops(world, [runner], outcome)
    stops = stops_sent(world)
    cancel(world, job_id, follower_names(world)[0])
    world.run(500)
    tuning = world.instances[scheduler_of(world)].core.board.tuning
    assert 5 <= len(stops) <= 1 + 500 / tuning.stop_retry_ms


def test_stop_without_a_reply_is_sent_again_at_its_timeout():
    """Guards against tasks that wait longer than needed as the reply to a stop is lost.

    A task that is moved starts elsewhere once its stop is confirmed.
    """
    world = settled_world()
    job_id, runner = cancel_one_of_several(world)
    stops = stops_sent(world)
    world.runner_faults.lost_reply_shares = {runner: 1.0}
    cancel(world, job_id, follower_names(world)[0])
    world.run(100)
    first, second = (at for at, _ in stops[:2])
    tuning = world.instances[scheduler_of(world)].core.board.tuning
    assert second - first == tuning.order_timeout_ms


def test_stop_under_an_earlier_token_is_sent_again_under_the_new_one():
    """Guards against a run that goes on since its stop arrived after a new token.

    The runners of a zone were reclaimed from an acting scheduler while the stop was
    on its way.
    """
    world = settled_world()
    job_id, runner = cancel_one_of_several(world)
    stops = stops_sent(world)
    cancel(world, job_id, follower_names(world)[0])
    while not stops:
        world.run(1)
    board = world.instances[scheduler_of(world)].core.board
    zone = world.runners[runner].entry.zone
    earlier = board.leadership.token_for(zone)
    board.leadership.zone_epochs[zone] = 1
    token = board.leadership.token_for(zone)
    world.runners[runner].token = token
    world.run(STOP_MS)
    assert {one.fencing_token for _, one in stops} == {earlier, token}
    assert runs_of(world, job_id) == []


@pytest.mark.parametrize("cut_ms", range(900, 1_210, 10))
def test_capacity_is_free_again_after_a_runner_was_unreachable(cut_ms):
    """Guards against runs that are neither stopped nor taken for ended.

    A run whose start got no reply is stopped until its lease expires. If the runner
    replied again before the run was taken for ended, each renewal put that off.
    """
    for position_ms in range(0, 250, 50):
        world = settled_world({"north": 2}, runners=1)
        runner = next(iter(world.runners))
        world.cut = lambda one, other, runner=runner: runner in (one, other)
        submit_order(world, 1, follower_names(world)[0])
        world.run(cut_ms + position_ms)
        world.cut = lambda one, other: False
        world.run(4_000)
        board = world.instances[scheduler_of(world)].core.board
        view = board.pool.runners[runner]
        assert not view.runs
        assert view.free == view.entry.capacity
