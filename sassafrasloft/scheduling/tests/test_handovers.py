"""What a scheduler reports to the next one, and how far that is trusted."""

import pytest

from sassafrasloft.instance.events import MessageReceived
from sassafrasloft.instance.messages import (
    EndedJob,
    Handover,
    JobProgress,
    PossibleRun,
    SubmitJob,
    UnseenRunner,
)
from sassafrasloft.leadership.followers import handover_message
from sassafrasloft.runs.runner_list import SWEEP_INTERVAL_MS
from sassafrasloft.scheduling import JobOutcome, TaskState
from sassafrasloft.scheduling.handovers import ENDED_JOBS_MS
from sassafrasloft.scheduling.inherited_jobs import later_ends
from sassafrasloft.scheduling.predecessor_runs import predecessor_runs_possible
from sassafrasloft.standins.lease_runner import StandinTask
from sassafrasloft.testing.fleet.tests.situations import (
    CONFIRM,
    follower_names,
    scheduler_of,
    settled_world,
    submit_order,
)
from sassafrasloft.testing.fleet.world import simple_job

STREAM_ID = 77
REQUEST = simple_job(1, 2, 14_000, 900)
FIRST, SECOND = (f"{REQUEST.job_id}.0.0.{index}" for index in range(2))
UNSEEN = (UnseenRunner("runner-elsewhere", 1_500),)
PREDECESSOR_RUNS_MS = 1_300
LISTED_RUN_MS = 1_060
"""The longest lease and its margin."""
IDLE_POLL_MS = 1_000
"""Idle runners are polled, and waiting tasks placed, at least this often."""


@pytest.fixture
def successor():
    """Return a world whose scheduler has replaced another one, which was killed."""
    world = settled_world()
    for task in (FIRST, SECOND):
        world.task_overrides[task] = StandinTask(REQUEST.steps[0].demand, 900.0)
    world.audit.record_submission(REQUEST.job_id)
    world.kill(scheduler_of(world))
    world.run(500)
    return world


def board_of(world):
    return world.instances[scheduler_of(world)].core.board


def tell(world, message):
    instance = world.instances[scheduler_of(world)]
    world.tell(instance, MessageReceived(STREAM_ID, message))


def hand_over(world, *jobs, older=0, unseen=()):
    """Send the report of the direct predecessor, or of an earlier holder."""
    revision = board_of(world).leadership.replaced_revision - older
    tell(world, Handover(revision, False, (), jobs, unseen))
    return revision


def resubmit(world, runs_ms=0, revision=0):
    """Submit a job that an earlier scheduler had; return its tasks with runs."""
    message = SubmitJob(REQUEST, CONFIRM.name, 10, 3_000, True, runs_ms, revision)
    tell(world, message)
    world.run(50)
    return started_tasks(world)


def started_tasks(world):
    job = board_of(world).jobs.open[REQUEST.job_id]
    return [name for name, task in job.tasks.items() if task.run is not None]


def report_of(world, job_id=REQUEST.job_id):
    message = handover_message(board_of(world))
    return next((one for one in message.jobs if one.job_id == job_id), None)


def possible_runs(world):
    return {one.task: one for one in report_of(world).possible_runs}


def test_report_passes_on_what_was_inherited_of_a_job_that_did_not_come(successor):
    """Guards against a chain of schedulers that forgets a job of the first one."""
    hand_over(successor, JobProgress(REQUEST.job_id, (FIRST,), (SECOND,)))
    successor.run(100)
    report = report_of(successor)
    assert report.done == (FIRST,)
    (run,) = report.possible_runs
    assert run.task == SECOND
    assert 0 < run.remaining_ms <= LISTED_RUN_MS - 100 + SWEEP_INTERVAL_MS


def test_report_passes_on_deferred_tasks_until_their_runs_have_ended(successor):
    """Guards against a chain that forgets, or defers for ever, what it has not seen."""
    hand_over(successor, JobProgress(REQUEST.job_id, (), (SECOND,)))
    assert resubmit(successor) == [FIRST]
    run = possible_runs(successor)[SECOND]
    assert run.remaining_ms <= LISTED_RUN_MS - 50 + SWEEP_INTERVAL_MS
    task = board_of(successor).jobs.open[REQUEST.job_id].tasks[SECOND]
    successor.run(LISTED_RUN_MS + IDLE_POLL_MS)
    assert task.run is not None or task.state is TaskState.DONE


@pytest.mark.parametrize("reachable", [True, False])
def test_task_waits_for_reported_run_only_while_its_runner_is_unseen(
    successor, reachable
):
    """Guards against waits for a lease though the runner shows that no run is left."""
    runner = board_of(successor).pool.runners["runner-north-0"]
    run = PossibleRun(SECOND, runner.runner_id, LISTED_RUN_MS)
    if not reachable:
        runner.contacted = False
        successor.cut = lambda one, other: runner.runner_id in (one, other)
    hand_over(successor, JobProgress(REQUEST.job_id, (), (SECOND,), (run,)))
    assert resubmit(successor) == ([FIRST, SECOND] if reachable else [FIRST])
    passed_on = possible_runs(successor)[SECOND]
    assert reachable or passed_on.runner_id == runner.runner_id


def test_task_that_its_runner_still_lists_is_adopted(successor):
    """Guards against a second run by a wrong use of the runner's list."""
    board = board_of(successor)
    job = submit_order(successor, 5, follower_names(successor)[-1])
    successor.run(50)
    name, other = job.job.job_id, scheduler_of(successor)
    successor.stop(other)
    while scheduler_of(successor) == other:
        successor.run(5)
    successor.run(30)
    board = board_of(successor)
    tasks = board.jobs.open[name].tasks.values()
    assert all(task.run.adopted for task in tasks)


def test_report_lists_runs_of_jobs_that_were_not_submitted_yet():
    """Guards against a report without the runs that only their runners listed."""
    world = settled_world()
    instance = follower_names(world)[-1]
    job = submit_order(world, 1, instance)
    world.run(50)
    world.kill(instance)
    world.kill(scheduler_of(world))
    world.run(10)
    while not any(
        one.core.board.pool.orphans for one in world.instances.values() if one.alive
    ):
        world.run(5)
    assert len(report_of(world, job.job.job_id).running) == 2


def test_report_covers_no_runner_while_some_may_not_be_listed(successor):
    """Guards against trust in a scheduler that does not know all runners."""
    board = board_of(successor)
    board.configuration.store_regained_at = board.now
    assert handover_message(board).unseen_runners is None
    hand_over(successor, unseen=None)
    assert board.jobs.unseen_by_predecessor is None
    assert predecessor_runs_possible(board)


@pytest.mark.parametrize(("resubmitted", "complete"), [(False, True), (True, False)])
def test_report_vouches_for_jobs_of_its_own_while_a_runner_is_unseen(
    successor, resubmitted, complete
):
    """Guards against waits for leases by jobs that no earlier scheduler had."""
    hand_over(successor, unseen=UNSEEN)
    # Too large for any runner, so that it waits.
    job = simple_job(2, 1, 40_000, 200)
    tell(successor, SubmitJob(job, CONFIRM.name, 10, 1_400, resubmitted))
    assert handover_message(board_of(successor)).unseen_runners
    report = report_of(successor, job.job_id)
    assert (report is not None and report.complete) is complete


@pytest.mark.parametrize("complete", [True, False])
def test_job_starts_beside_unseen_runners_only_if_its_runs_are_known(
    successor, complete
):
    """Guards against a second run of a job of which a runner may have a run."""
    hand_over(
        successor, JobProgress(REQUEST.job_id, (), (), (), complete), unseen=UNSEEN
    )
    expected = [FIRST, SECOND] if complete else []
    assert resubmit(successor) == expected


def test_resubmitted_job_waits_for_unseen_runner_until_its_runs_have_ended(successor):
    """Guards against jobs that wait longer than the leases of unknown runs."""
    hand_over(successor, unseen=UNSEEN)
    assert resubmit(successor) == []
    job = board_of(successor).jobs.open[REQUEST.job_id]
    successor.run(UNSEEN[0].remaining_ms + IDLE_POLL_MS)
    waited_ms = job.first_start_at - job.accepted_at
    assert 0 <= waited_ms - UNSEEN[0].remaining_ms <= IDLE_POLL_MS


def test_report_of_an_earlier_holder_does_not_replace_that_of_the_predecessor(
    successor,
):
    """Guards against a late report that hides a run of the direct predecessor."""
    hand_over(successor, JobProgress(REQUEST.job_id, (), (SECOND,)))
    hand_over(successor, JobProgress(REQUEST.job_id, (), ()), older=1)
    assert resubmit(successor) == [FIRST]


def test_report_of_an_earlier_holder_says_nothing_of_a_later_one(successor):
    """Guards against a start while an unreachable scheduler may have a run.

    Anything that was inherited of the job counted as the report of its last scheduler.
    """
    revision = hand_over(successor, JobProgress(REQUEST.job_id, (), ()), older=1)
    assert resubmit(successor, PREDECESSOR_RUNS_MS, revision - 1) == []


@pytest.mark.parametrize("unseen", [(), UNSEEN])
@pytest.mark.parametrize("reported_first", [True, False])
def test_deferral_ends_only_by_a_report_that_covers_all_runners(
    successor, reported_first, unseen
):
    """Guards against trust in what a paused scheduler reports when it returns."""
    board = board_of(successor)
    revision = board.leadership.replaced_revision - 1
    if reported_first:
        hand_over(successor, older=1, unseen=unseen)
    resubmit(successor, PREDECESSOR_RUNS_MS, revision)
    if not reported_first:
        assert started_tasks(successor) == []
        hand_over(successor, older=1, unseen=unseen)
        successor.run(20)
    assert started_tasks(successor) == ([] if unseen else [FIRST, SECOND])


def hand_over_ended(world, outcome):
    ended = EndedJob(REQUEST.job_id, outcome)
    revision = board_of(world).leadership.replaced_revision
    tell(world, Handover(revision, False, (), (), (), (ended,)))


@pytest.mark.parametrize("outcome", ["completed", "failed"])
@pytest.mark.parametrize("resubmitted_first", [False, True])
def test_job_whose_answer_was_lost_at_a_handover_is_answered(
    successor, outcome, resubmitted_first
):
    """Guards against a second run of a job that has ended at the last scheduler."""
    if resubmitted_first:
        assert resubmit(successor) == [FIRST, SECOND]
        hand_over_ended(successor, outcome)
    else:
        hand_over_ended(successor, outcome)
        submit = SubmitJob(REQUEST, CONFIRM.name, 10, 3_000, True, 0, 0)
        tell(successor, submit)
    board = board_of(successor)
    assert REQUEST.job_id not in board.jobs.open
    assert board.jobs.answers[REQUEST.job_id][0] is JobOutcome(outcome)
    successor.run(100)
    assert not board.pool.live_runs


@pytest.mark.parametrize("outcome", ["refused", "unheard of"])
def test_reported_outcome_that_is_not_final_ends_no_job(successor, outcome):
    """Guards against an answer that its job did not have."""
    hand_over_ended(successor, outcome)
    assert resubmit(successor) == [FIRST, SECOND]


@pytest.mark.parametrize("resubmitted_first", [False, True])
def test_job_that_was_cancelled_at_the_last_scheduler_does_not_start(
    successor, resubmitted_first
):
    """Guards against cancelled jobs that run on after a handover."""
    if resubmitted_first:
        assert resubmit(successor) == [FIRST, SECOND]
        hand_over_ended(successor, "cancelled")
    else:
        hand_over_ended(successor, "cancelled")
        submit = SubmitJob(REQUEST, CONFIRM.name, 10, 3_000, True, 0, 0)
        tell(successor, submit)
    successor.run(100)
    board = board_of(successor)
    assert REQUEST.job_id not in board.jobs.open
    assert not board.pool.live_runs
    assert EndedJob(REQUEST.job_id, "cancelled") in handover_message(board).ended_jobs


def test_ended_jobs_are_reported_for_a_bounded_time(successor):
    """Guards against reports that grow with the time that a scheduler was active."""
    hand_over_ended(successor, "completed")
    board = board_of(successor)
    ended = (EndedJob(REQUEST.job_id, "completed"),)
    assert handover_message(board).ended_jobs == ended
    board.now += ENDED_JOBS_MS + 1
    assert handover_message(board).ended_jobs == ()


def test_complete_report_of_an_earlier_holder_starts_no_task(successor):
    """Guards against trust in a report that does not cover the direct predecessor."""
    hand_over(successor, unseen=UNSEEN)
    hand_over(successor, JobProgress(REQUEST.job_id, (), (), (), True), older=1)
    assert resubmit(successor) == []


@pytest.mark.parametrize("ends", [(5, 10), (10, 5)])
def test_possible_run_is_assumed_until_the_later_of_two_reported_ends(ends):
    """Guards against an earlier end because its report came last."""
    one, other = ({"runner": until} for until in ends)
    assert later_ends(one, other) == {"runner": 10}
