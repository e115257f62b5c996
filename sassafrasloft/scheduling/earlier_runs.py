"""Which jobs wait because an earlier scheduler may still have runs of them.

Load pattern: a scheduler out of reach leaves jobs of which nobody knows what runs.
They take no room until its leases have ended, and new jobs go past them.
"""

from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.scheduling.jobs import ScheduledJob, ScheduledTask


def may_start(job: ScheduledJob, board: InstanceBoard) -> bool:
    """Return whether no earlier scheduler can still have runs of a job.

    A runner that has not answered may go on with them until its leases end.
    """
    if not job.resubmitted or board.jobs.predecessor_known:
        return True
    tuning = board.tuning
    regained = board.configuration.store_regained_at
    if 0 <= board.now - regained < tuning.missing_grace_ms and regained >= 0:
        # Runners that lost their entries may not be known yet.
        return False
    lapse = tuning.lease_ms + tuning.lapse_margin_ms
    return not board.pool.unknown_runs_possible(board.now, lapse + tuning.silence_ms)


def startable_tasks(job: ScheduledJob, board: InstanceBoard) -> list[ScheduledTask]:
    """Return the waiting tasks that may start as soon as there is room."""
    if not job.waiting or not may_start(job, board):
        return []
    return [task for task in job.waiting if task.not_before <= board.now]
