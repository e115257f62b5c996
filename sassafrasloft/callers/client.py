"""Sends single requests to the dispatcher and validates the replies."""

import attrs
from cattrs import Converter
from cattrs.errors import BaseValidationError
from returns.result import Failure, Result, Success

from sassafrasloft.callers.errors import RequestRefused, ServiceUnreachable
from sassafrasloft.callers.transport import HttpReply, Transport, job_path
from sassafrasloft.clock import Milliseconds
from sassafrasloft.errors import SassafrasloftError
from sassafrasloft.jobs import Answer, Fate, JobSpec

_CONVERTER = Converter()
_CLIENT_ERRORS = range(400, 500)
_TOO_MANY_REQUESTS = 429

AnswerResult = Result[Answer, SassafrasloftError]


class DispatcherClient:
    """Client that sends each request once; see `JobSubmission` for retries.

    Parameters
    ----------
    transport : Transport
        Sends the requests.
    """

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    def new_ids(self, count: int = 1) -> Result[tuple[str, ...], SassafrasloftError]:
        """Request unused submission ids."""
        sent = self._transport.send("POST", "/v1/submission-ids", {"count": count})
        return sent.bind(_parse_ids)

    def submit(
        self, submission_id: str, job: JobSpec, wait_ms: Milliseconds = 0
    ) -> AnswerResult:
        """Submit or resubmit a job."""
        path = job_path(submission_id, wait_ms)
        sent = self._transport.send("PUT", path, attrs.asdict(job), wait_ms)
        return sent.bind(lambda reply: _parse_answer(reply, submission_id, job))

    def ask(
        self,
        submission_id: str,
        wait_ms: Milliseconds = 0,
        job: JobSpec | None = None,
    ) -> AnswerResult:
        """Query the answer; `job` only serves to check that it is complete."""
        path = job_path(submission_id, wait_ms)
        sent = self._transport.send("GET", path, wait_ms=wait_ms)
        return sent.bind(lambda reply: _parse_answer(reply, submission_id, job))

    def cancel(self, submission_id: str) -> AnswerResult:
        """Request that no further task of the job is started."""
        sent = self._transport.send("DELETE", job_path(submission_id))
        return sent.bind(lambda reply: _parse_answer(reply, submission_id, None))


def _parse_ids(reply: HttpReply) -> Result[tuple[str, ...], SassafrasloftError]:
    ids = reply.body.get("submission_ids") if isinstance(reply.body, dict) else None
    if (
        reply.status == 200
        and isinstance(ids, list)
        and ids
        and all(isinstance(one, str) and one for one in ids)
    ):
        return Success(tuple(ids))
    return Failure(_error_from_reply(reply, "submission ids"))


def _parse_answer(
    reply: HttpReply, submission_id: str, job: JobSpec | None
) -> AnswerResult:
    if not (isinstance(reply.body, dict) and "fate" in reply.body):
        return Failure(_error_from_reply(reply, submission_id))
    try:
        answer = _CONVERTER.structure(reply.body, Answer)
    except (BaseValidationError, ValueError, TypeError, KeyError):
        answer = None
    if answer is None or not _is_valid_answer(answer, submission_id, job):
        found = f"status {reply.status} with a malformed answer or one for another job"
        return Failure(ServiceUnreachable(submission_id, found))
    if not answer.retry_after_ms and reply.retry_after_ms:
        answer = attrs.evolve(answer, retry_after_ms=reply.retry_after_ms)
    return Success(answer)


def _is_valid_answer(answer: Answer, submission_id: str, job: JobSpec | None) -> bool:
    """Return whether an answer is complete and belongs to the request."""
    if answer.fate is Fate.RUNNING:
        return answer.submission_id in ("", submission_id) and not answer.final
    if answer.fate is not Fate.COMPLETE:
        return answer.submission_id in ("", submission_id) and not answer.outcomes
    is_complete = bool(answer.outcomes) and all(
        outcome.fate is Fate.COMPLETE for outcome in answer.outcomes
    )
    if job is not None:
        names = [outcome.name for outcome in answer.outcomes]
        is_complete = is_complete and names == [task.name for task in job.tasks]
    return is_complete and answer.submission_id == submission_id


def _error_from_reply(reply: HttpReply, subject: str) -> SassafrasloftError:
    body = reply.body if isinstance(reply.body, dict) else {}
    detail = str(body.get("detail", "") or "no explanation")[:500]
    named = str(body.get("subject", "") or subject)[:200]
    remedy = str(body.get("remedy", ""))[:500]
    if reply.status in _CLIENT_ERRORS and reply.status != _TOO_MANY_REQUESTS:
        return RequestRefused(named, f"status {reply.status}, {detail}", remedy)
    return ServiceUnreachable(
        named, f"status {reply.status}, {detail}", remedy, reply.retry_after_ms
    )
