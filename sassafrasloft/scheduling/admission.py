"""Which job is refused, and when its caller may come back.

Load pattern: a burst, or the loss of runners, brings more jobs than can be in
time. A caller that is refused early can still be served elsewhere or later; one
that waits in vain has lost its time.
"""

import math
from abc import ABC, abstractmethod

import attrs

from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.scheduling.jobs import ScheduledJob
from sassafrasloft.scheduling.registry import PolicyRegistry

_SECOND_MS = 1_000


@attrs.frozen
class Refusal:
    """Why a job is refused and when its caller may come back."""

    reason: str
    retry_after_s: int


class Admission(ABC):
    """Decides how long a job may wait for its first task to start."""

    @abstractmethod
    def on_arrival(self, job: ScheduledJob, board: InstanceBoard) -> Refusal | None:
        """Return a refusal if it is already known that the job cannot be served."""

    @abstractmethod
    def latest_start(self, job: ScheduledJob, board: InstanceBoard) -> float:
        """Return until when a job that has not begun may wait."""


ADMISSIONS: PolicyRegistry[Admission] = PolicyRegistry("admission")


@ADMISSIONS.register("until_deadline")
class UntilDeadline(Admission):
    """Lets jobs wait as long as their callers do; the baseline."""

    def on_arrival(self, job: ScheduledJob, board: InstanceBoard) -> Refusal | None:
        """Refuse nothing."""
        return None

    def latest_start(self, job: ScheduledJob, board: InstanceBoard) -> float:
        """Return the deadline less the work."""
        return job.deadline_at - job.work_ms


@ADMISSIONS.register("share_of_objective")
class ShareOfObjective(Admission):
    """Lets a job wait for a share of its objective.

    Within that time a refusal still leaves its caller most of the time for
    another attempt, and room that comes free lets most jobs be in time.
    """

    def on_arrival(self, job: ScheduledJob, board: InstanceBoard) -> Refusal | None:
        """Refuse a job that no runner can ever hold, or above the limit of jobs."""
        if len(board.jobs.open) >= board.tuning.most_open_jobs:
            return Refusal("too many open jobs", retry_after_s(board))
        if board.now >= job.deadline_at:
            return Refusal("the caller's deadline has passed", retry_after_s(board))
        return None

    def latest_start(self, job: ScheduledJob, board: InstanceBoard) -> float:
        """Return the end of the share."""
        return job.arrived_at + board.tuning.wait_share * job.objective_ms


def retry_after_s(board: InstanceBoard) -> int:
    """Return when a refused caller may come back: once the waiting work is done."""
    room = sum(view.entry.capacity.millicores for view in board.pool.runners.values())
    waiting = sum(
        job.request.steps[task.step].demand.millicores
        * job.request.steps[task.step].estimate_ms
        for job in board.jobs.open.values()
        for task in job.waiting
    )
    seconds = math.ceil(waiting / room / _SECOND_MS) if room else 0
    return max(board.tuning.shortest_retry_after_s, seconds)
