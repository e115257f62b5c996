"""Run time estimates from finished tasks, since declared times are often inaccurate."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.state import TeamUse, WaitingQueue

SAMPLE_DECAY = 0.99
"""Factor applied to the weight of earlier samples for each new sample."""
MIN_LEARNED_TASKS = 10
"""With fewer samples than this, the declared run time is used unchanged."""


def record_run_time(
    queue: WaitingQueue, team: TeamUse, declared_ms: int, run_ms: int
) -> None:
    """Add the run time of a completed task to the team and service averages."""
    team.learned_run_ms = SAMPLE_DECAY * team.learned_run_ms + run_ms
    team.learned_declared_ms = SAMPLE_DECAY * team.learned_declared_ms + declared_ms
    team.learned_tasks = SAMPLE_DECAY * team.learned_tasks + 1
    queue.learned_run_ms = SAMPLE_DECAY * queue.learned_run_ms + run_ms
    queue.learned_declared_ms = SAMPLE_DECAY * queue.learned_declared_ms + declared_ms
    if queue.learned_declared_ms > 0:
        queue.run_ms_ratio = queue.learned_run_ms / queue.learned_declared_ms


def estimate_run_ms(team: TeamUse, declared_ms: Milliseconds | float) -> float:
    """Return the expected run time of a task of the team.

    The estimate is the mean of the declared time, corrected by the measured ratio,
    and the team's mean run time, because a single declared time is unreliable.
    """
    if team.learned_tasks < MIN_LEARNED_TASKS or team.learned_declared_ms <= 0:
        return float(declared_ms)
    ratio = team.learned_run_ms / team.learned_declared_ms
    mean_ms = team.learned_run_ms / team.learned_tasks
    return (declared_ms * ratio + mean_ms) / 2
