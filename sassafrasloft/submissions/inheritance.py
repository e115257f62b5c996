"""The heir's side of a planned stop: taking ids, answers and jobs over."""

from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    HeirChosen,
    PeerMessageReceived,
    SendToPeer,
    register_controller,
)
from sassafrasloft.jobs import Fate
from sassafrasloft.messages import (
    Handover,
    HandoverReply,
    HeirAnnounced,
    TransferredJob,
)
from sassafrasloft.state import JobRecord, SubmissionLedger, TaskRecord, TaskState
from sassafrasloft.submissions.completion import finish_if_ended
from sassafrasloft.submissions.handover import WRONG_INCARNATION
from sassafrasloft.submissions.ids import owner_key
from sassafrasloft.submissions.local import run_job
from sassafrasloft.submissions.records import keep_answer
from sassafrasloft.submissions.refusals import FailureKind

MAX_LEDGERS = 64
"""Incarnations whose ids one instance answers for; a handover above it is
refused and goes to another peer."""


@register_controller("submissions.inheritance", 35)
class InheritanceController(Controller):
    """Takes the records of stopping instances over, each part once."""

    handles = (PeerMessageReceived,)

    def react(self, event: Event, board: Blackboard) -> None:
        """Apply a part of a handover and acknowledge or refuse it."""
        if not isinstance(event, PeerMessageReceived):
            return
        part = event.message
        if not isinstance(part, Handover):
            return
        refusal = _refusal(board, part)
        if not refusal:
            _take_over(board, event.peer, part)
        reply = HandoverReply(
            part.instance, part.incarnation, part.sequence, not refusal, refusal
        )
        board.metrics.add("messages_handover")
        board.emit(SendToPeer(event.peer, reply))


def _refusal(board: Blackboard, part: Handover) -> str:
    """Return why a part is refused; empty if it is taken or was taken before."""
    if part.heir_incarnation != board.identity.incarnation:
        return WRONG_INCARNATION
    key = owner_key(part.instance, part.incarnation)
    ledger = board.jobs.ledgers.get(key)
    if ledger is not None:
        if part.sequence <= ledger.handover_sequence:
            return ""
        if part.sequence != ledger.handover_sequence + 1:
            return "earlier part is missing"
        return "" if ledger.accepting or _passes_on(board, key) else "leaving"
    if part.sequence != 1:
        return "earlier part is missing"
    if board.peers.leaving or board.jobs.draining:
        return "leaving"
    _drop_expired_ledgers(board)
    return "too many incarnations" if len(board.jobs.ledgers) >= MAX_LEDGERS else ""


def _passes_on(board: Blackboard, key: str) -> bool:
    """Return whether this instance, itself stopping, still hands records on."""
    drain = board.jobs.drain
    record = drain.parts.get(key) if drain is not None else None
    return (
        drain is not None
        and record is not None
        and not record.done
        and not drain.given_up
    )


def _drop_expired_ledgers(board: Blackboard) -> None:
    """Drop inherited incarnations whose ids have all expired and were purged."""
    limits = board.settings.service.limits
    lifetime_ms = limits.id_validity_ms + 2 * limits.answer_retention_ms
    for key, ledger in list(board.jobs.ledgers.items()):
        old = board.now > ledger.inherited_ms + lifetime_ms
        busy = any(one.startswith(f"{key}.") for one in board.jobs.running)
        if ledger.origin and old and not busy:
            del board.jobs.ledgers[key]


def _take_over(board: Blackboard, peer: str, part: Handover) -> None:
    key = owner_key(part.instance, part.incarnation)
    ledger = board.jobs.ledgers.get(key)
    if ledger is None:
        ledger = _new_ledger(board, peer, part)
        board.jobs.ledgers[key] = ledger
        _announce(board, part)
    if part.sequence <= ledger.handover_sequence:
        board.metrics.add("handovers_repeated")
        return
    ledger.handover_sequence = part.sequence
    ledger.origin_open = not part.last
    records = zip(part.answers, part.answer_teams, part.answer_digests, strict=True)
    for answer, team, digest in records:
        keep_answer(board, answer, team, digest)
    for job in part.jobs:
        _take_job(board, job)


def _new_ledger(board: Blackboard, peer: str, part: Handover) -> SubmissionLedger:
    limits = board.settings.service.limits
    # Not the exact expiry: kept at least until no id of the origin is valid.
    until_ms = board.now + limits.id_validity_ms
    return SubmissionLedger(
        secret=part.secret,
        last_serial=part.last_serial,
        used=dict.fromkeys(part.used_serials, until_ms),
        not_run=dict.fromkeys(part.not_run_serials, str(FailureKind.TASK_NOT_STARTED)),
        clock_offset_ms=board.now - part.sent_ms,
        origin=peer,
        origin_open=True,
        inherited_ms=board.now,
    )


def _take_job(board: Blackboard, job: TransferredJob) -> None:
    tasks = [TaskRecord(spec) for spec in job.job.tasks]
    record = JobRecord(
        submission_id=job.submission_id,
        spec=job.job,
        tasks=tasks,
        accepted_ms=board.now,
        due_ms=board.now + job.remaining_ms,
        waiting=len(tasks),
    )
    for task, outcome in zip(tasks, job.outcomes, strict=True):
        if outcome is None:
            continue
        task.state = TaskState.ENDED
        task.outcome = outcome
        # The former owner placed it; only a proof makes it count as not run.
        task.placements = 0 if outcome.fate is Fate.NOT_RUN else 1
        record.waiting -= 1
    board.metrics.add("jobs_taken_over")
    run_job(board, record)
    finish_if_ended(board, record)


def _announce(board: Blackboard, part: Handover) -> None:
    incarnation = board.identity.incarnation
    message = HeirAnnounced(
        part.instance, part.incarnation, board.identity.instance, incarnation
    )
    for name in board.peers.peers:
        if name != board.identity.instance:
            board.metrics.add("messages_handover")
            board.emit(SendToPeer(name, message))
    board.post(
        HeirChosen(message.instance, message.incarnation, message.heir, incarnation)
    )
