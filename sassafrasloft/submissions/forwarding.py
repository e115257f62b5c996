"""Requests for submissions of other instances and ended incarnations."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    PeerLinkChanged,
    PeerMessageReceived,
    RecordSpan,
    SendToPeer,
    TimerFired,
    register_controller,
)
from sassafrasloft.messages import ForwardReply, ForwardRequest, RequestKind
from sassafrasloft.state import KeptAnswer, PendingForward
from sassafrasloft.submissions.checks import job_digest
from sassafrasloft.submissions.fencing import recovered_answer, recovery_done
from sassafrasloft.submissions.ids import SubmissionId
from sassafrasloft.submissions.owners import Owner, find_owner, live_peers
from sassafrasloft.submissions.refusals import FailureKind, no_end_yet
from sassafrasloft.submissions.requests import (
    Request,
    answer_request,
    answer_with_ids,
)

FORWARD_TIMER = "submissions.forward/"

MAX_HOPS = 3
"""Entry instance, stopping owner, heir: no request needs more."""

MAX_FORWARDS = 5_000
"""Open forwarded requests; above it the owner counts as unreachable."""


def route_elsewhere(
    board: Blackboard, request: Request, submission_id: SubmissionId
) -> None:
    """Send a request to the owner of its id, or to the recovery after a crash."""
    kept = board.jobs.answers.get(request.submission_id)
    if kept is not None and _is_for(kept, request):
        answer_request(board, request.requester, request.team, kept.answer)
        return
    owner = find_owner(board, submission_id)
    if owner.peer:
        forward(board, request, owner.peer, submission_id.owner)
    elif owner.ended:
        _recover(board, request, submission_id, owner)
    else:
        refuse_unreachable(board, request)


def _recover(
    board: Blackboard, request: Request, submission_id: SubmissionId, owner: Owner
) -> None:
    if not recovery_done(board, owner):
        _park(board, request, submission_id.owner)
        return
    answer = recovered_answer(board, request, submission_id, owner)
    answer_request(board, request.requester, request.team, answer)


def _is_for(kept: KeptAnswer, request: Request) -> bool:
    if kept.team != request.team:
        return False
    return request.job is None or job_digest(request.job) == kept.digest


def forward(board: Blackboard, request: Request, peer: str, owner: str) -> None:
    """Forward a request to a peer and remember who gets the reply.

    Parameters
    ----------
    owner : str
        ``instance.incarnation`` that the id names; empty for fresh ids.
    """
    known = peer in board.peers.peers and request.requester.hops < MAX_HOPS
    if not known or len(board.jobs.forwards) >= MAX_FORWARDS:
        refuse_unreachable(board, request)
        return
    pending = _pending(board, request, owner, peer)
    board.jobs.forwards[pending.message.forward_id] = pending
    _send(board, pending)
    _set_check(board, pending)


def forward_ids(board: Blackboard, request: Request) -> None:
    """Ask another instance for ids, since this one is leaving."""
    peers = live_peers(board)
    if peers and not request.requester.peer:
        forward(board, request, peers[0], "")
    else:
        refuse_unreachable(board, request, FailureKind.INSTANCE_LEAVING)


def refuse_unreachable(
    board: Blackboard,
    request: Request,
    kind: FailureKind = FailureKind.OWNER_UNREACHABLE,
) -> None:
    """Reply that the owner cannot be reached now; the id stays safe to use."""
    answer = no_end_yet(
        request.submission_id,
        kind,
        "the instance that owns this id does not answer now",
        board.settings.service.membership.forward_timeout_ms,
    )
    answer_request(board, request.requester, request.team, answer)


def _pending(
    board: Blackboard, request: Request, owner: str, peer: str
) -> PendingForward:
    wait_ms = max(0, min(request.wait_ms, board.settings.service.limits.max_wait_ms))
    message = ForwardRequest(
        board.fresh_id("forward"),
        request.kind,
        request.submission_id,
        request.team,
        wait_ms,
        request.job,
        request.trace.trace_id,
        request.trace.span_id,
        request.count,
        request.requester.hops,
    )
    margin_ms = board.settings.service.membership.forward_timeout_ms if peer else 0
    if request.kind is RequestKind.CANCEL:
        margin_ms += board.settings.service.upstreams.settle_timeout_ms
    due_ms = board.now + wait_ms + margin_ms
    return PendingForward(request.requester, message, owner, peer, board.now, due_ms)


def _park(board: Blackboard, request: Request, owner: str) -> None:
    """Let a request wait for the recovery, as long as its caller waits."""
    pending = _pending(board, request, owner, "")
    if pending.due_ms <= board.now or len(board.jobs.forwards) >= MAX_FORWARDS:
        refuse_unreachable(board, request)
        return
    board.jobs.forwards[pending.message.forward_id] = pending
    _set_check(board, pending)


def _send(board: Blackboard, pending: PendingForward) -> None:
    board.metrics.add("messages_forward")
    board.emit(SendToPeer(pending.peer, pending.message))


def _set_check(board: Blackboard, pending: PendingForward) -> None:
    """Check again after `forward_timeout_ms`, at the latest when it is due."""
    timeout_ms: Milliseconds = board.settings.service.membership.forward_timeout_ms
    board.set_timer(
        f"{FORWARD_TIMER}{pending.message.forward_id}",
        min(timeout_ms, pending.due_ms - board.now),
    )


def _record_span(board: Blackboard, pending: PendingForward) -> None:
    message = pending.message
    if message.trace_id:
        board.emit(
            RecordSpan(
                message.trace_id,
                board.fresh_span_id(),
                message.parent_span_id,
                "forward",
                pending.sent_ms,
                board.now,
                (("peer", pending.peer), ("request", message.request.value)),
            )
        )


def request_of_pending(pending: PendingForward) -> Request:
    """Return the request that waits for a forward or a recovery."""
    message = pending.message
    return Request(
        message.request,
        pending.requester,
        message.submission_id,
        message.team,
        message.wait_ms,
        message.job,
        message.count,
    )


@register_controller("submissions.forwarding", 32)
class ForwardingController(Controller):
    """Matches replies of owners with requests and ends those without a reply."""

    handles = (PeerMessageReceived, PeerLinkChanged, TimerFired)

    def react(self, event: Event, board: Blackboard) -> None:
        """Handle a reply, a change of a link or the check of a forward."""
        match event:
            case PeerMessageReceived(message=ForwardReply()):
                self._replied(event.peer, event.message, board)
            case PeerLinkChanged():
                self._link_changed(event, board)
            case TimerFired() if event.name.startswith(FORWARD_TIMER):
                self._check(event.name.removeprefix(FORWARD_TIMER), board)

    def _replied(self, peer: str, reply: ForwardReply, board: Blackboard) -> None:
        pending = board.jobs.forwards.get(reply.forward_id)
        crossed = (
            pending is None
            or pending.peer != peer
            or pending.message.submission_id != reply.answer.submission_id
        )
        if pending is None or crossed:
            board.metrics.add("replies_late")
            return
        del board.jobs.forwards[reply.forward_id]
        _record_span(board, pending)
        if reply.submission_ids and pending.message.request is RequestKind.IDS:
            answer_with_ids(board, pending.requester, reply.submission_ids)
            return
        team = pending.message.team
        answer = attrs.evolve(reply.answer, next_submission_id="")
        answer_request(board, pending.requester, team, answer)

    def _link_changed(self, event: PeerLinkChanged, board: Blackboard) -> None:
        for pending in board.jobs.forwards.values():
            if pending.peer != event.peer:
                continue
            if not event.up:
                pending.lost = True
            elif pending.lost and not pending.repeated:
                pending.repeated = True
                pending.lost = False
                _send(board, pending)

    def _check(self, forward_id: str, board: Blackboard) -> None:
        pending = board.jobs.forwards.get(forward_id)
        if pending is None:
            return
        peer = board.peers.peers.get(pending.peer)
        silent = pending.peer != "" and (peer is None or not peer.up)
        if board.now < pending.due_ms and not silent:
            _set_check(board, pending)
            return
        del board.jobs.forwards[forward_id]
        refuse_unreachable(board, request_of_pending(pending))
