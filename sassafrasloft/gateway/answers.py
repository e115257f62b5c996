"""The answers that callers get."""

from enum import StrEnum

import attrs


class AnswerKind(StrEnum):
    """The outcome that an answer reports to a caller."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    """Nothing has run or will run; the caller may retry later."""
    UNAVAILABLE = "unavailable"
    """Nothing has run; this instance cannot serve the request at present."""
    MAY_HAVE_RUN = "may_have_run"
    """Tasks of the job may have run; their results are unknown."""
    NO_SUCH_ROUTE = "no_such_route"
    NO_SUCH_JOB = "no_such_job"
    MALFORMED = "malformed"
    STATE = "state"
    """The state of a job, as the caller requested."""
    CANCELLED = "cancelled"
    PENDING = "pending"
    """The number of waiting jobs of a route, as the caller requested."""


@attrs.frozen
class CallerAnswer:
    """An answer to one request.

    Parameters
    ----------
    kind : AnswerKind
    detail : str
        The state of a job, or the reason why it was refused or failed.
    retry_after_s : int
        Seconds after which the caller may retry; 0 if unspecified.
    pending : int
        Number of waiting jobs of a route.
    """

    kind: AnswerKind
    detail: str = ""
    retry_after_s: int = 0
    pending: int = 0


def may_have_run_answer(reason: str) -> CallerAnswer:
    """Return the answer to a job of which tasks may have run or may still run."""
    return CallerAnswer(AnswerKind.MAY_HAVE_RUN, reason)


def no_scheduler_answer(is_caller_retry: bool, retry_after_s: int) -> CallerAnswer:
    """Return the answer to a job that its instance sent to no scheduler.

    A caller that sent its job before may have reached a scheduler then.
    """
    if is_caller_retry:
        return may_have_run_answer("no scheduler")
    return CallerAnswer(AnswerKind.UNAVAILABLE, "no scheduler", retry_after_s)


def job_state_answer(state: str) -> CallerAnswer:
    """Return the answer to a query for a job; an empty state means it is unknown."""
    if not state:
        return CallerAnswer(AnswerKind.NO_SUCH_JOB)
    return CallerAnswer(AnswerKind.STATE, state)
