"""Answers to callers."""

from enum import StrEnum

import attrs


class AnswerKind(StrEnum):
    """What a caller is told."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    """Nothing has run or will run; the caller may come back later."""
    UNAVAILABLE = "unavailable"
    """Nothing has run; this instance cannot serve for now."""
    MAY_HAVE_RUN = "may_have_run"
    NO_SUCH_ROUTE = "no_such_route"
    NO_SUCH_JOB = "no_such_job"
    MALFORMED = "malformed"
    STATE = "state"
    CANCELLED = "cancelled"
    PENDING = "pending"


@attrs.frozen
class CallerAnswer:
    """An answer.

    Parameters
    ----------
    kind : AnswerKind
    detail : str
        The state of a job, or the reason of a refusal.
    retry_after_s : int
        When to come back; 0 if that is not said.
    pending : int
        Waiting jobs of a route.
    """

    kind: AnswerKind
    detail: str = ""
    retry_after_s: int = 0
    pending: int = 0
