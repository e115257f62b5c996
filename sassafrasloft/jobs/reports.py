"""Reports of runners about tasks."""

from enum import StrEnum

import attrs


@attrs.frozen(order=True)
class TaskKey:
    """Identifies a task by its submission and its index in the job."""

    submission_id: str
    index: int

    def __str__(self) -> str:
        """Return the task id that is sent to runners."""
        return f"{self.submission_id}/{self.index}"


class ReportState(StrEnum):
    """State of a task as its runner reports it."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    """This request did not start the task; other requests may have, or still may."""
    NEVER_STARTED = "never_started"
    """The task has not started on this runner and never will."""
    RUNNING = "running"


class RefusalReason(StrEnum):
    """Why a runner refused to start a task."""

    BUSY = "busy"
    LEAVING = "leaving"
    FENCED = "fenced"
    WRONG_INCARNATION = "wrong_incarnation"
    SETTLED = "settled"
    DUPLICATE = "duplicate"
    """The task was received before. This request did not start it, but the earlier
    one may have; a settle request finds out."""
    TOO_LARGE = "too_large"
    EXPIRED = "expired"
    """The lease of the delivery expired before a slot became free."""


@attrs.frozen
class RunnerCapacity:
    """Capacity of a runner, included in its replies to save a separate request.

    Parameters
    ----------
    waiting : int
        Number of accepted tasks that wait for a slot.
    """

    runner_incarnation: str
    free_slots: int
    leaving: bool = False
    waiting: int = 0


@attrs.frozen
class TaskReport:
    """Part of a runner's reply that concerns one task."""

    key: TaskKey
    state: ReportState
    result: str = ""
    reason: str = ""
    run_ms: int = 0
