"""The kinds of refusals and failures that callers get, and their wording."""

from enum import StrEnum

from sassafrasloft.clock import Milliseconds
from sassafrasloft.jobs import Answer, Fate, failed_answer

RUNNING_RETRY_MS = 500
"""When a caller that does not wait should ask again; each ask is a message."""


class FailureKind(StrEnum):
    """`Answer.kind` of the answers that this subpackage gives."""

    MALFORMED_INPUT = "malformed_input"
    TOO_LARGE = "too_large"
    CANNOT_RUN = "cannot_run"
    UNKNOWN_ID = "unknown_id"
    ID_EXPIRED = "id_expired"
    ID_CONFLICT = "id_conflict"
    NOT_SUBMITTED = "not_submitted"
    ANSWER_DROPPED = "answer_dropped"
    OVERLOADED = "overloaded"
    OWNER_UNREACHABLE = "owner_unreachable"
    OWNER_GONE = "owner_gone"
    INSTANCE_LEAVING = "instance_leaving"
    AUTHORITY_LOST = "authority_lost"
    CANCELLED = "cancelled"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    TASK_FAILED = "task_failed"
    TASK_NOT_STARTED = "task_not_started"


NEW_ID_REMEDY = "Submit the job again under a new submission id."
CHECK_FIRST_REMEDY = (
    "Check whether the tasks took effect before you submit them under a new id."
)
ASK_AGAIN_REMEDY = (
    "Ask again or submit the same job again under the same id; it will not run twice."
)


def not_run(
    submission_id: str,
    kind: str,
    detail: str,
    remedy: str = NEW_ID_REMEDY,
    retry_after_ms: Milliseconds = 0,
) -> Answer:
    """Return the refusal of a job of which no task ran or ever will."""
    return failed_answer(
        submission_id, Fate.NOT_RUN, kind, detail, remedy, retry_after_ms
    )


def may_have_run(submission_id: str, kind: str, detail: str) -> Answer:
    """Return the failure of a job some of whose tasks may have run."""
    return failed_answer(
        submission_id, Fate.MAY_HAVE_RUN, kind, detail, CHECK_FIRST_REMEDY
    )


def no_end_yet(
    submission_id: str, kind: str, detail: str, retry_after_ms: Milliseconds
) -> Answer:
    """Return an answer that is not final and says nothing of the job's fate."""
    return failed_answer(
        submission_id,
        Fate.RUNNING,
        kind,
        detail,
        ASK_AGAIN_REMEDY,
        retry_after_ms,
        final=False,
    )
