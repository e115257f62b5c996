"""The HTTP interface for callers; see docs/callers-interface.md."""

import hashlib
import hmac
import threading
from collections.abc import Callable
from random import SystemRandom

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    AnswerRequested,
    Event,
    IdsRequested,
    IssuedIds,
    JobCancelled,
    JobSubmitted,
    RequestAbandoned,
    TraceContext,
)
from sassafrasloft.entry.health import Health
from sassafrasloft.entry.instance_application import InstanceApplication
from sassafrasloft.entry.job_values import answer_status, answer_values, parse_job
from sassafrasloft.entry.replies import PendingReply, ReplyContent, ReplyTable
from sassafrasloft.errors import MalformedInput, SassafrasloftError, register_error
from sassafrasloft.jobs import Answer
from sassafrasloft.listeners import (
    JsonReply,
    JsonRequest,
    error_reply,
    route,
)
from sassafrasloft.settings import ServiceSettings
from sassafrasloft.traces import parse_traceparent

REPLY_MARGIN_MS: Milliseconds = 8_000
"""Time allowed for a reply beyond the wait that the caller requested. A forwarded
request takes up to the forwarding timeout; a later reply indicates a fault."""

MAX_SPARE_THREADS = 16
"""Threads that never serve a long wait, so that health checks and short requests
are still answered."""


@register_error("unauthorized")
class Unauthorized(SassafrasloftError):
    """A request without a token of a team."""

    default_remedy = "Send `Authorization: Bearer <token>` with your team's token."


@register_error("forbidden")
class Forbidden(SassafrasloftError):
    """A request for another team."""

    default_remedy = "Use the token of the team that the job names."


@register_error("no_reply")
class NoReply(SassafrasloftError):
    """The instance did not reply to the request in time."""

    default_remedy = (
        "Ask again or submit the same job again under the same id; it will not run "
        "twice."
    )


@attrs.define
class WaitLimiter:
    """Limits the number of requests that wait for a long time."""

    limit: int
    waiting: int = 0
    cut: int = 0
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def enter(self) -> bool:
        """Return whether a request may wait; each True requires one call of `leave`."""
        with self.lock:
            if self.waiting >= self.limit:
                self.cut += 1
                return False
            self.waiting += 1
            return True

    def leave(self) -> None:
        """Record the end of a wait that `enter` allowed."""
        with self.lock:
            self.waiting -= 1


class CallersApplication(InstanceApplication):
    """Converts requests of callers into events, and replies into HTTP responses.

    Parameters
    ----------
    tell, replies, health
        As for `InstanceApplication`.
    settings : callable
        Returns the settings in force; called by several threads.
    """

    def __init__(
        self,
        tell: Callable[[Event], None],
        replies: ReplyTable,
        health: Health,
        settings: Callable[[], ServiceSettings],
    ) -> None:
        super().__init__(tell, replies, health)
        self._settings = settings
        self._random = SystemRandom()
        threads = settings().limits.caller_threads
        spare = min(MAX_SPARE_THREADS, max(1, threads // 4))
        self.gate = WaitLimiter(max(0, threads - spare))

    @route("POST", "/v1/submission-ids")
    def issue_ids(self, request: JsonRequest) -> JsonReply:
        """Issue new submission ids."""
        team = self._team(request)
        if isinstance(team, JsonReply):
            return team
        body = request.json() if request.has_body else {}
        count = body.get("count", 1) if isinstance(body, dict) else None
        most = self._settings().limits.max_ids_per_request
        if type(count) is not int or not 1 <= count <= most:
            found = f"{count!r:.40} is not an integer from 1 to {most}"
            raise MalformedInput("count", found)
        return self._exchange(
            request, 0, lambda pending, _: IdsRequested(pending, team, count)
        )

    @route("PUT", "/v1/jobs/<submission_id>")
    def submit(self, request: JsonRequest) -> JsonReply:
        """Submit a job, or resubmit it under the same id."""
        team = self._team(request)
        if isinstance(team, JsonReply):
            return team
        job = parse_job(request.json(), team)
        if job.team != team:
            found = f"the token belongs to {team!r}, the job names {job.team!r:.60}"
            return error_reply(403, Forbidden("team", found))
        submission_id, trace = request.parts["submission_id"], self._trace(request)
        return self._exchange(
            request,
            self._wait_ms(request),
            lambda pending, wait_ms: JobSubmitted(
                pending, submission_id, job, wait_ms, trace
            ),
        )

    @route("GET", "/v1/jobs/<submission_id>")
    def get_job(self, request: JsonRequest) -> JsonReply:
        """Return the answer to a job, or its state while it runs."""
        team = self._team(request)
        if isinstance(team, JsonReply):
            return team
        submission_id, trace = request.parts["submission_id"], self._trace(request)
        return self._exchange(
            request,
            self._wait_ms(request),
            lambda pending, wait_ms: AnswerRequested(
                pending, submission_id, team, wait_ms, trace
            ),
        )

    @route("DELETE", "/v1/jobs/<submission_id>")
    def cancel(self, request: JsonRequest) -> JsonReply:
        """Cancel a job, so that none of its remaining tasks is started."""
        team = self._team(request)
        if isinstance(team, JsonReply):
            return team
        submission_id, trace = request.parts["submission_id"], self._trace(request)
        return self._exchange(
            request,
            0,
            lambda pending, _: JobCancelled(pending, submission_id, team, trace),
        )

    def _team(self, request: JsonRequest) -> str | JsonReply:
        """Return the team that the token belongs to, or an error reply."""
        scheme, _, token = request.header("Authorization").partition(" ")
        if scheme.lower() != "bearer" or not token:
            return _unauthorized("no bearer token")
        digest = hashlib.sha256(token.strip().encode("latin-1")).hexdigest()
        for team in self._settings().teams:
            known = team.token_sha256.lower()
            if known and hmac.compare_digest(known.encode(), digest.encode()):
                return team.name
        return _unauthorized("the token belongs to no team")

    def _wait_ms(self, request: JsonRequest) -> Milliseconds:
        most = self._settings().limits.max_wait_ms
        return min(most, request.query_integer("wait_ms", 0))

    def _exchange(
        self,
        request: JsonRequest,
        wait_ms: Milliseconds,
        event: Callable[[str, Milliseconds], Event],
    ) -> JsonReply:
        """Pass a request to the core and return the reply.

        When nearly all threads wait, the wait is reduced to 0: the caller gets
        status 202 immediately and polls again.
        """
        waits = wait_ms > 0 and self.gate.enter()
        allowed_ms = wait_ms if waits else 0
        try:
            pending, content = self._await_reply(
                request,
                allowed_ms + REPLY_MARGIN_MS,
                lambda request_id: event(request_id, allowed_ms),
            )
        finally:
            if waits:
                self.gate.leave()
        if content is None:
            return self._reply_timeout(pending)
        return _encode_reply(content)

    def _reply_timeout(self, pending: PendingReply) -> JsonReply:
        self._tell(RequestAbandoned(pending.request_id))
        return error_reply(
            503, NoReply("request", "no reply in time"), _retry_after_header(1_000)
        )

    def _trace(self, request: JsonRequest) -> TraceContext:
        """Return the trace of the caller, or start one for a sampled request."""
        text = request.header("traceparent")
        parsed = parse_traceparent(text).value_or(None) if text else None
        if parsed is not None and parsed.sampled:
            return TraceContext(parsed.trace_id, parsed.span_id)
        if parsed is not None:
            return TraceContext()
        share = self._settings().telemetry.trace_sample_share
        if self._random.random() >= share:
            return TraceContext()
        return TraceContext(f"{self._random.getrandbits(128):032x}")


def _encode_reply(content: ReplyContent) -> JsonReply:
    if isinstance(content, IssuedIds):
        return JsonReply(body={"submission_ids": list(content.submission_ids)})
    assert isinstance(content, Answer)
    headers = (
        _retry_after_header(content.retry_after_ms) if content.retry_after_ms else ()
    )
    return JsonReply(answer_status(content), answer_values(content), headers)


def _retry_after_header(delay_ms: Milliseconds) -> tuple[tuple[str, str], ...]:
    return (("Retry-After", str(-(-delay_ms // 1000))),)


def _unauthorized(found: str) -> JsonReply:
    challenge = (("WWW-Authenticate", 'Bearer realm="sassafrasloft"'),)
    return error_reply(401, Unauthorized("Authorization", found), challenge)
