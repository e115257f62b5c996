"""The planned stop: what a stopping instance gives to its heir, and its exit."""

from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    Exit,
    HeirChosen,
    JobStopped,
    PeerMessageReceived,
    SendToPeer,
    TimerFired,
    register_controller,
)
from sassafrasloft.invariants import Invariant
from sassafrasloft.jobs import running_answer
from sassafrasloft.messages import Handover, HandoverReply, HeirAnnounced
from sassafrasloft.state import DrainState, HandoverRecord, JobRecord, TaskState
from sassafrasloft.submissions.completion import finish_if_ended, stop_job
from sassafrasloft.submissions.handover_parts import is_of, next_part
from sassafrasloft.submissions.ids import owner_key, parse_submission_id
from sassafrasloft.submissions.owners import ended_since, live_peers
from sassafrasloft.submissions.refusals import RUNNING_RETRY_MS, FailureKind
from sassafrasloft.submissions.waiting import answer_waiters

ACCEPT_END_TIMER = "drain.accept_end"
"""Set by membership when a planned stop begins, for after `balancer_lag_ms`."""

RETRY_TIMER = "submissions.handover"

WRONG_INCARNATION = "wrong_incarnation"
"""`HandoverReply.reason` if the heir is a newer process than the chosen one."""


@register_controller("submissions.handover", 34)
class HandoverController(Controller):
    """Stops accepting, hands over to one heir, and ends the process."""

    handles = (TimerFired, PeerMessageReceived)

    def react(self, event: Event, board: Blackboard) -> None:
        """Handle the end of accepting, a retry or the heir's reply."""
        match event:
            case TimerFired(name="drain.accept_end"):
                self._stop_accepting(board)
            case TimerFired(name="submissions.handover"):
                self._retry(board)
            case PeerMessageReceived(message=HandoverReply()):
                self._replied(event.peer, event.message, board)

    def settle(self, board: Blackboard) -> None:
        """Send what became ready for the heir, and exit when nothing is left."""
        drain = board.jobs.drain
        if drain is None or drain.exited:
            return
        begun = all(record.acknowledged for record in drain.parts.values())
        if not begun or not board.jobs.running:
            # Later parts wait for the timer, so that answers go in few messages.
            self._send_parts(board, drain)
        if self._is_done(board, drain):
            drain.exited = True
            board.auditor.check(
                Invariant.PLANNED_STOP_CUTS_NOTHING,
                not board.jobs.running and not board.jobs.open_requests,
                f"exit with open requests {list(board.jobs.open_requests)[:3]}",
            )
            board.log("INFO", "planned_stop_done", heir=drain.heir)
            board.emit(Exit())

    def _is_done(self, board: Blackboard, drain: DrainState) -> bool:
        if board.jobs.running or board.jobs.open_requests:
            return False
        handed_over = _is_handed_over(drain)
        alone = all(name == board.identity.instance for name in board.peers.peers)
        return handed_over or drain.given_up or alone

    def _stop_accepting(self, board: Blackboard) -> None:
        if board.jobs.drain is not None:
            return
        board.jobs.draining = True
        membership = board.settings.service.membership
        transfer_ms = board.now + membership.drain_finish_ms
        drain = DrainState(transfer_ms, transfer_ms + membership.drain_finish_ms)
        for key, ledger in board.jobs.ledgers.items():
            if ledger.accepting:
                ledger.accepting = False
                drain.parts[key] = HandoverRecord()
        board.jobs.drain = drain
        board.set_timer(RETRY_TIMER, 0)
        board.log("INFO", "accepting_ended", incarnations=list(drain.parts))

    def _retry(self, board: Blackboard) -> None:
        drain = board.jobs.drain
        if drain is None or drain.exited:
            return
        membership = board.settings.service.membership
        board.set_timer(RETRY_TIMER, membership.handover_retry_ms)
        if drain.given_up or _is_handed_over(drain):
            return
        if board.now >= drain.give_up_ms or _heir_ended(board, drain):
            give_up_handover(board, drain)
            return
        if not drain.heir:
            _choose_heir(board, drain)
        for record in drain.parts.values():
            if record.pending is not None:
                _send(board, drain, record.pending)
        if drain.heir and board.now >= drain.transfer_ms:
            _withhold_unsent(board, drain)
        self._send_parts(board, drain)

    def _send_parts(self, board: Blackboard, drain: DrainState) -> None:
        if not drain.heir or drain.given_up:
            return
        for key, record in drain.parts.items():
            if record.pending is None and not record.done:
                record.pending = next_part(board, drain, key, record)
                if record.pending is not None:
                    _send(board, drain, record.pending)

    def _replied(self, peer: str, reply: HandoverReply, board: Blackboard) -> None:
        drain = board.jobs.drain
        key = owner_key(reply.instance, reply.incarnation)
        record = drain.parts.get(key) if drain is not None else None
        if drain is None or record is None or peer != drain.heir:
            return
        part = record.pending
        if part is None or part.sequence != reply.sequence or drain.given_up:
            return
        if reply.accepted:
            self._acknowledged(board, drain, key, record, part)
        elif reply.reason == WRONG_INCARNATION or _has_acknowledged(drain):
            # The heir owns the ids, or an earlier process of it may do so.
            give_up_handover(board, drain)
        else:
            _change_heir(board, drain)

    def _acknowledged(
        self,
        board: Blackboard,
        drain: DrainState,
        key: str,
        record: HandoverRecord,
        part: Handover,
    ) -> None:
        first = record.acknowledged == 0
        record.pending = None
        record.acknowledged = part.sequence
        record.done = part.last
        ledger = board.jobs.ledgers[key]
        ledger.heir = drain.heir
        for answer in part.answers:
            record.handed[answer.submission_id] = None
        for job in part.jobs:
            _let_go(board, job.submission_id)
        if first:
            board.post(
                HeirChosen(
                    part.instance, part.incarnation, drain.heir, drain.heir_incarnation
                )
            )


def give_up_handover(board: Blackboard, drain: DrainState) -> None:
    """End the handover; what the heir may have taken is never run here.

    Peers are told of the heir, since it may have taken the ids over without
    having been heard: after its end both incarnations must be fenced.
    """
    drain.given_up = True
    board.log("ERROR", "handover_given_up", heir=drain.heir)
    for key in drain.parts:
        if drain.heir:
            _announce(board, drain, key)
    for record in list(board.jobs.running.values()):
        _end_unsent(board, record)


def _end_unsent(board: Blackboard, record: JobRecord) -> None:
    """End a job that was kept back for an heir that does not take it."""
    if not record.transferring:
        return
    if record.handed_over:
        # The heir may have started the tasks without having been heard.
        for task in record.tasks:
            if task.state is TaskState.WAITING:
                task.placements += 1
    record.handed_over = False
    detail = "the instance stopped and no other one confirmed to take the job over"
    stop_job(board, record, FailureKind.INSTANCE_LEAVING, detail)
    finish_if_ended(board, record)


def _heir_ended(board: Blackboard, drain: DrainState) -> bool:
    heir_key = owner_key(drain.heir, drain.heir_incarnation)
    return drain.heir != "" and ended_since(board, heir_key) is not None


def _is_handed_over(drain: DrainState) -> bool:
    return all(record.done for record in drain.parts.values())


def _has_acknowledged(drain: DrainState) -> bool:
    return any(record.acknowledged for record in drain.parts.values())


def _choose_heir(board: Blackboard, drain: DrainState) -> None:
    candidates = [
        name
        for name in live_peers(board)
        if name not in drain.refused_by and board.peers.peers[name].incarnation
    ]
    if not candidates:
        drain.refused_by.clear()
        return
    drain.heir = candidates[0]
    drain.heir_incarnation = board.peers.peers[drain.heir].incarnation
    board.log("INFO", "heir_chosen", heir=drain.heir)


def _change_heir(board: Blackboard, drain: DrainState) -> None:
    """Choose another heir after an explicit refusal of the first part."""
    drain.refused_by.append(drain.heir)
    drain.heir = ""
    drain.heir_incarnation = ""
    for record in drain.parts.values():
        record.pending = None
    _choose_heir(board, drain)


def _send(board: Blackboard, drain: DrainState, part: Handover) -> None:
    board.metrics.add("messages_handover")
    board.emit(SendToPeer(drain.heir, part))


def _announce(board: Blackboard, drain: DrainState, key: str) -> None:
    """Tell all peers who answers for an incarnation of this instance."""
    instance, _, incarnation = key.rpartition(".")
    message = HeirAnnounced(instance, incarnation, drain.heir, drain.heir_incarnation)
    for peer in board.peers.peers:
        if peer != board.identity.instance:
            board.metrics.add("messages_handover")
            board.emit(SendToPeer(peer, message))


def _withhold_unsent(board: Blackboard, drain: DrainState) -> None:
    """Send no further task of unfinished jobs that the heir can take over."""
    for key, part in drain.parts.items():
        if not part.acknowledged:
            continue
        for record in board.jobs.running.values():
            unsent = record.waiting and not record.failed_kind
            if unsent and not record.transferring and is_of(record.submission_id, key):
                record.transferring = True
                board.post(JobStopped(record.submission_id))


def _let_go(board: Blackboard, submission_id: str) -> None:
    """Forget a job that the heir took over; its callers ask again there."""
    record = board.jobs.running.pop(submission_id)
    parsed = parse_submission_id(submission_id).unwrap()
    board.jobs.ledgers[parsed.owner].transferred[parsed.serial] = None
    board.metrics.add("jobs_handed_over")
    answer = running_answer(submission_id, RUNNING_RETRY_MS)
    answer_waiters(board, submission_id, record.spec.team, answer)
