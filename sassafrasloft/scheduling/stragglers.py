"""Which overdue runs are stopped and started again on another runner.

Load patterns: runners that become slow, and runners on which tasks stall.
"""

from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.events import RunOverdue
from sassafrasloft.scheduling.jobs import ScheduledJob, ScheduledTask

MAX_STARTS = 4
"""Runs of one task after which it is not moved again: more only add load."""
MIN_SPEEDUP = 1.3
"""Minimum ratio of the remaining time of the overdue run to the expected time of a new
run."""


def should_move(
    job: ScheduledJob, task: ScheduledTask, overdue: RunOverdue, board: InstanceBoard
) -> bool:
    """Return whether an overdue run should be replaced by a new one elsewhere.

    The new run must be expected to end clearly sooner and before the caller's
    deadline, and another runner must have capacity for it.
    """
    if task.starts >= MAX_STARTS:
        return False
    rerun_ms = _expected_rerun_ms(overdue) + board.tuning.stop_ms
    if overdue.remaining_ms < MIN_SPEEDUP * rerun_ms:
        return False
    if board.now + rerun_ms > job.deadline_at:
        return False
    demand = overdue.run.demand
    return any(
        demand.fits(view.free)
        for view in board.pool.runners.values()
        if view.runner_id != overdue.run.runner_id
        and board.pool.usable(view, board.now)
    )


def _expected_rerun_ms(overdue: RunOverdue) -> float:
    """Return the expected duration of a new run on a healthy runner.

    The task may simply take longer than declared. The total duration is therefore
    reduced only by the slowness that other runs have shown on the runner.
    """
    if overdue.remaining_ms == float("inf"):
        return overdue.run.expected_ms
    total_ms = overdue.elapsed_ms + overdue.remaining_ms
    return total_ms / max(1.0, overdue.slowness)
