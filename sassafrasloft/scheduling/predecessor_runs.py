"""Jobs that must not start while runs of a predecessor scheduler may still exist.

Load pattern: a scheduler becomes unreachable, and which tasks of its jobs are running
is unknown. These jobs get no capacity until the leases of that scheduler have expired;
new jobs are placed before them.
"""

from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.runs.polling import predecessor_lease_ms
from sassafrasloft.scheduling.jobs import JobOutcome, ScheduledJob


def predecessor_runs_possible(board: InstanceBoard) -> bool:
    """Return whether runners may have runs that only a predecessor knows of.

    A runner that has not answered may continue these runs until their leases expire.
    """
    tuning = board.tuning
    regained = board.configuration.store_regained_at
    if 0 <= board.now - regained < tuning.missing_grace_ms and regained >= 0:
        # Runners whose entries lapsed in the outage may not be listed again yet.
        return True
    pool = board.pool
    lapse = predecessor_lease_ms(tuning)
    list_is_old = pool.entries_read_at <= pool.activated_at
    if list_is_old and board.now - pool.activated_at <= lapse:
        return True
    return pool.unknown_runs_possible(board.now, lapse)


def may_start(job: ScheduledJob, board: InstanceBoard) -> bool:
    """Return whether it is certain that no predecessor still has runs of a job."""
    if not job.resubmitted or board.jobs.predecessor_reported:
        return True
    return not board.jobs.predecessor_runs_possible


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
        if task.not_before <= board.now
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
