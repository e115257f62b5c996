"""Answers to callers about their jobs."""

from enum import StrEnum

import attrs

from sassafrasloft.clock import Milliseconds


class Fate(StrEnum):
    """Outcome of a task or a job, as far as it is known."""

    COMPLETE = "complete"
    NOT_RUN = "failed_not_run"
    MAY_HAVE_RUN = "failed_may_have_run"
    RUNNING = "running"
    """The job has not ended yet; the caller has to ask again."""


@attrs.frozen
class TaskOutcome:
    """Final outcome of one task.

    Parameters
    ----------
    name : str
        Name that the caller gave to the task.
    fate : Fate
        Never `Fate.RUNNING`.
    result : str
        Result that the runner returned; empty unless the task completed.
    reason : str
        Why the task failed; empty if it completed.
    """

    name: str
    fate: Fate
    result: str = ""
    reason: str = ""


@attrs.frozen
class Answer:
    """Reply to one request of a caller about a job.

    Parameters
    ----------
    submission_id : str
        Id of the submission that the answer concerns; empty if unknown.
    fate : Fate
        Outcome of the job; `RUNNING` until the job has ended.
    kind : str
        The error kind of a failure, such as ``overloaded``; empty otherwise.
    detail : str
        Human-readable explanation.
    remedy : str
        How the caller can proceed.
    outcomes : tuple of TaskOutcome
        One outcome per task in the order of the job, if the job is complete;
        empty otherwise.
    retry_after_ms : Milliseconds
        Time after which to retry; 0 if a retry does not help.
    final : bool
        Whether the answer can no longer change.
    next_submission_id : str
        Unused submission id for the caller's next job; empty if none is
        provided.
    """

    submission_id: str
    fate: Fate
    kind: str = ""
    detail: str = ""
    remedy: str = ""
    outcomes: tuple[TaskOutcome, ...] = ()
    retry_after_ms: Milliseconds = 0
    final: bool = True
    next_submission_id: str = ""


def failed_answer(
    submission_id: str,
    fate: Fate,
    kind: str,
    detail: str,
    remedy: str,
    retry_after_ms: Milliseconds = 0,
    final: bool = True,
) -> Answer:
    """Return the answer for a failed job, without task outcomes."""
    return Answer(
        submission_id=submission_id,
        fate=fate,
        kind=kind,
        detail=detail,
        remedy=remedy,
        retry_after_ms=retry_after_ms,
        final=final,
    )


def running_answer(submission_id: str, retry_after_ms: Milliseconds) -> Answer:
    """Return the answer for a job that has not ended yet."""
    return Answer(
        submission_id=submission_id,
        fate=Fate.RUNNING,
        detail="The job is running.",
        remedy="Ask again with the same submission id.",
        retry_after_ms=retry_after_ms,
        final=False,
    )
