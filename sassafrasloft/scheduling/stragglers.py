"""Which overdue runs are started again elsewhere.

Load patterns: runners that turn slow, and runners on which tasks stall.
"""

from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.events import RunOverdue
from sassafrasloft.scheduling.jobs import ScheduledJob, ScheduledTask

MOST_STARTS = 4
"""Of one task by moving; more would only spread the load."""
GAIN_FACTOR = 1.3
"""A new run must be expected to end this much sooner than the old one."""


def worth_moving(
    job: ScheduledJob, task: ScheduledTask, overdue: RunOverdue, board: InstanceBoard
) -> bool:
    """Return whether a new run would end sooner, and before the caller leaves."""
    if task.starts >= MOST_STARTS:
        return False
    again = _expected_again_ms(overdue) + board.tuning.stop_ms
    if overdue.remaining_ms < GAIN_FACTOR * again:
        return False
    if board.now + again > job.deadline_at:
        return False
    demand = overdue.run.demand
    return any(
        demand.fits(view.free)
        for view in board.pool.runners.values()
        if view.runner_id != overdue.run.runner_id
        and board.pool.usable(view, board.now)
    )


def _expected_again_ms(overdue: RunOverdue) -> float:
    """Return how long a new run is expected to take on a sound runner.

    A task may simply be longer than declared: only the slowness that other runs
    have shown on the runner counts.
    """
    if overdue.remaining_ms == float("inf"):
        return overdue.run.expected_ms
    total = overdue.elapsed_ms + overdue.remaining_ms
    return total / max(1.0, overdue.slowness)
