"""Requests of callers in one form, whether they came directly or forwarded."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    AnswerRequested,
    Blackboard,
    Event,
    IdsRequested,
    IssuedIds,
    JobCancelled,
    JobSubmitted,
    PeerMessageReceived,
    Reply,
    SendToPeer,
    TraceContext,
)
from sassafrasloft.invariants import Invariant
from sassafrasloft.jobs import Answer, Fate, JobSpec
from sassafrasloft.messages import ForwardReply, ForwardRequest, RequestKind
from sassafrasloft.state import Requester
from sassafrasloft.submissions.ids import issue_id, issues_ids

MAX_OPEN_PEER_REQUESTS = 5_000
"""Open requests of peers; more are dropped, and the peer's caller asks again."""


@attrs.frozen
class Request:
    """What a caller wants and who gets the reply.

    Parameters
    ----------
    wait_ms : Milliseconds
        How long the reply may wait for an answer.
    count : int
        How many ids are asked for.
    """

    kind: RequestKind
    requester: Requester
    submission_id: str
    team: str
    wait_ms: Milliseconds = 0
    job: JobSpec | None = None
    count: int = 1
    trace: TraceContext = attrs.field(factory=TraceContext)


def request_of(event: Event) -> Request | None:
    """Return the request that an event brings, or None if it brings none."""
    match event:
        case JobSubmitted():
            return Request(
                RequestKind.SUBMIT,
                Requester(request_id=event.request_id),
                event.submission_id,
                event.job.team,
                event.wait_ms,
                event.job,
                trace=event.trace,
            )
        case AnswerRequested():
            return Request(
                RequestKind.ASK,
                Requester(request_id=event.request_id),
                event.submission_id,
                event.team,
                event.wait_ms,
                trace=event.trace,
            )
        case JobCancelled():
            return Request(
                RequestKind.CANCEL,
                Requester(request_id=event.request_id),
                event.submission_id,
                event.team,
                trace=event.trace,
            )
        case IdsRequested():
            return Request(
                RequestKind.IDS,
                Requester(request_id=event.request_id),
                "",
                event.team,
                count=event.count,
            )
        case PeerMessageReceived(message=ForwardRequest()):
            return _forwarded(event.peer, event.message)
    return None


def _forwarded(peer: str, message: ForwardRequest) -> Request:
    return Request(
        message.request,
        Requester(peer=peer, forward_id=message.forward_id, hops=message.hops + 1),
        message.submission_id,
        message.job.team if message.job is not None else message.team,
        message.wait_ms,
        message.job,
        message.count,
        TraceContext(message.trace_id, message.parent_span_id),
    )


def open_request(board: Blackboard, request: Request) -> bool:
    """Enter a request as open; return False if it is to be ignored.

    A forwarded request that was repeated while the first copy is still open
    gets the reply of the first copy.
    """
    key = request.requester.key
    if key in board.jobs.open_requests:
        board.metrics.add("requests_repeated")
        return False
    full = len(board.jobs.open_requests) >= MAX_OPEN_PEER_REQUESTS
    if full and request.requester.peer:
        board.metrics.add("requests_dropped")
        return False
    board.jobs.open_requests[key] = request.submission_id
    return True


def close_request(board: Blackboard, requester: Requester, content: str) -> None:
    """Take a request off the open ones and check whose answer it gets.

    Parameters
    ----------
    content : str
        The submission id of the answer.
    """
    expected = board.jobs.open_requests.pop(requester.key, None)
    board.auditor.check(
        Invariant.ANSWER_REACHES_ITS_CALLER,
        expected == content,
        f"{requester.key} asked for {expected!r} and would get {content!r}",
    )


def answer_request(
    board: Blackboard, requester: Requester, team: str, answer: Answer
) -> None:
    """Send the one reply to an open request.

    A final answer to a caller of this instance carries a fresh id of this
    instance, so that the caller's next job need not be forwarded.
    """
    close_request(board, requester, answer.submission_id)
    if not requester.request_id:
        board.metrics.add("messages_forward")
        board.emit(
            SendToPeer(requester.peer, ForwardReply(requester.forward_id, answer))
        )
        return
    fresh_id = ""
    if answer.final and answer.submission_id and issues_ids(board):
        fresh_id = issue_id(board, team)
    board.emit(
        Reply(requester.request_id, attrs.evolve(answer, next_submission_id=fresh_id))
    )


def answer_with_ids(
    board: Blackboard, requester: Requester, submission_ids: tuple[str, ...]
) -> None:
    """Send the reply to an open request for ids."""
    close_request(board, requester, "")
    if requester.request_id:
        board.emit(Reply(requester.request_id, IssuedIds(submission_ids)))
        return
    board.metrics.add("messages_forward")
    reply = ForwardReply(
        requester.forward_id, Answer("", Fate.COMPLETE), submission_ids
    )
    board.emit(SendToPeer(requester.peer, reply))
