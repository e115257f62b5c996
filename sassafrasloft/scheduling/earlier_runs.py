"""Which jobs wait because an earlier scheduler may still have runs of them.

Load pattern: a scheduler out of reach leaves jobs of which nobody knows what runs.
They take no room until its leases have ended, and new jobs go past them.
"""

from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.scheduling.jobs import ScheduledJob


def earlier_runs_possible(board: InstanceBoard) -> bool:
    """Return whether runners may have runs that only an earlier scheduler knows.

    A runner that has not answered may go on with them until their leases end.
    """
    tuning = board.tuning
    regained = board.configuration.store_regained_at
    if 0 <= board.now - regained < tuning.missing_grace_ms and regained >= 0:
        # Runners that lost their entries may not be known yet.
        return True
    pool = board.pool
    lapse = tuning.lease_ms + tuning.lapse_margin_ms + tuning.silence_ms
    list_is_old = pool.entries_read_at <= pool.activated_at
    if list_is_old and board.now - pool.activated_at <= lapse:
        return True
    return pool.unknown_runs_possible(board.now, lapse)


def may_start(job: ScheduledJob, board: InstanceBoard) -> bool:
    """Return whether no earlier scheduler can still have runs of a job."""
    if not job.resubmitted or board.jobs.predecessor_known:
        return True
    return not board.jobs.earlier_runs_possible


def waiting_work(job: ScheduledJob, board: InstanceBoard) -> float:
    """Return the millicore-milliseconds of tasks that may start given room."""
    if not job.waiting or not may_start(job, board):
        return 0.0
    if not job.held_back:
        return job.waiting_work
    steps = job.request.steps
    return sum(
        steps[task.step].demand.millicores * steps[task.step].estimate_ms
        for task in job.waiting
        if task.not_before <= board.now
    )
