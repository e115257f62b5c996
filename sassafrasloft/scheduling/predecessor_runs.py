"""Jobs that must not start while runs of a predecessor scheduler may still exist.

Load pattern: a scheduler becomes unreachable, and which tasks of its jobs are running
is unknown. These jobs get no capacity until the leases of that scheduler have expired;
new jobs are placed before them.

The evidence that no such run exists is, for each runner, its own list of runs, a report
of the direct predecessor that covers the runner, or the end of the leases. The runners
are those in the store's list and those outside of it that instances remember
(`runs.unlisted_runners`).
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.runs.polling import predecessor_lease_ms
from sassafrasloft.scheduling.jobs import JobOutcome, ScheduledJob, ScheduledTask


def unseen_runners(board: InstanceBoard) -> dict[str, Milliseconds] | None:
    """Return the runners that may have runs which only a predecessor knows of.

    Returns
    -------
    dict or None
        By runner, when these runs have ended at the latest. None if runners that this
        scheduler does not know may have such runs as well.
    """
    reported = board.jobs.unseen_by_predecessor
    if reported is not None:
        return {
            runner_id: until
            for runner_id, until in reported.items()
            if board.now <= until and not board.pool.has_contacted(runner_id)
        }
    if _runners_may_be_unlisted(board):
        return None
    return board.pool.unseen_runners(board.now, predecessor_lease_ms(board.tuning))


def _runners_may_be_unlisted(board: InstanceBoard) -> bool:
    """Return whether a runner that the predecessor used may be unknown here."""
    tuning, pool = board.tuning, board.pool
    regained = board.configuration.store_regained_at
    if 0 <= board.now - regained < tuning.missing_grace_ms and regained >= 0:
        # Entries that lapsed in the outage may not be in the list again yet.
        return True
    list_is_old = pool.entries_read_at <= pool.activated_at
    return list_is_old and board.now - pool.activated_at <= predecessor_lease_ms(tuning)


def predecessor_runs_possible(board: InstanceBoard) -> bool:
    """Return whether there may be runs that only a predecessor knows of."""
    return unseen_runners(board) != {}


def has_only_known_runs(job: ScheduledJob) -> bool:
    """Return whether all runs of a job are known, whatever unseen runners have."""
    return not job.resubmitted or job.predecessor_runs_known


def may_start(job: ScheduledJob, board: InstanceBoard) -> bool:
    """Return whether it is certain that no predecessor still has runs of a job."""
    return has_only_known_runs(job) or not board.jobs.predecessor_runs_possible


def is_deferred(task: ScheduledTask, board: InstanceBoard) -> bool:
    """Return whether a reported run of a task may still exist.

    A runner that has listed its runs since accepts no start by an earlier scheduler.
    Its runs are known, so that the task is either among them or has no run there.
    """
    if board.now < task.not_before:
        return True
    return any(
        board.now < until and not board.pool.has_contacted(runner_id)
        for runner_id, until in task.possible_runs.items()
    )


def startable_work(job: ScheduledJob, board: InstanceBoard) -> float:
    """Return the work of the tasks of a job that could start now given capacity.

    The work is in millicore-milliseconds and uses declared durations.
    """
    if not job.waiting or not may_start(job, board):
        return 0.0
    if not job.has_deferred_tasks:
        return job.waiting_work
    steps = job.request.steps
    return sum(
        steps[task.step].demand.millicores * steps[task.step].estimate_ms
        for task in job.waiting
        if not is_deferred(task, board)
    )


def may_have_run_before(job: ScheduledJob, board: InstanceBoard) -> bool:
    """Return whether tasks of an earlier submission of a job may have run.

    Load pattern: callers whose connections broke send their jobs again while there is
    too little capacity. Such a job must not be refused as "not run", unless it is known
    what became of it.
    """
    known = board.jobs.answers.get(job.job_id)
    if known is not None:
        outcome, _ = known
        return outcome is not JobOutcome.REFUSED
    if not job.is_caller_retry:
        return False
    # Its caller has used up part of the time for which it waits at least.
    patience_ms = job.deadline_at - job.arrived_at
    first_sent_at = job.arrived_at - (job.route.timeout_ms - patience_ms)
    was_scheduling = board.pool.activated_at < first_sent_at - board.tuning.silence_ms
    return board.pool.acting or not was_scheduling
