"""Kept answers, used serials and the bounds of both."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import Blackboard
from sassafrasloft.jobs import Answer, Fate
from sassafrasloft.state import KeptAnswer, SubmissionLedger
from sassafrasloft.submissions.ids import SubmissionId, expiry_ms, parse_submission_id

MAX_USED_SERIALS = 200_000
"""Used serials of one incarnation; about 20 MB. New jobs are refused above it."""

PURGE_PERIOD_MS: Milliseconds = 30_000
"""How often expired serials are dropped; each purge reads all of them."""


def use_serial(
    board: Blackboard, ledger: SubmissionLedger, submission_id: SubmissionId
) -> None:
    """Mark a serial as used; it stays so until after the id has expired."""
    ledger.used[submission_id.serial] = expiry_ms(board, ledger, submission_id)


def mark_not_run(
    ledger: SubmissionLedger, submission_id: SubmissionId, kind: str
) -> None:
    """Remember that no task of a used serial ran or ever will."""
    ledger.not_run[submission_id.serial] = str(kind)


def ledger_of(
    board: Blackboard, submission_id: str
) -> tuple[SubmissionLedger, SubmissionId] | None:
    """Return the ledger that holds a submission, if it is held here."""
    parsed = parse_submission_id(submission_id).value_or(None)
    if parsed is None or parsed.owner not in board.jobs.ledgers:
        return None
    return board.jobs.ledgers[parsed.owner], parsed


def was_answered_not_run(board: Blackboard, submission_id: str) -> bool:
    """Return whether a caller was told that a submission did not run."""
    kept = board.jobs.answers.get(submission_id)
    if kept is not None and kept.answer.fate is Fate.NOT_RUN:
        return True
    held = ledger_of(board, submission_id)
    return held is not None and held[1].serial in held[0].not_run


def keep_answer(board: Blackboard, answer: Answer, team: str, digest: bytes) -> None:
    """Keep a final answer for callers that ask again, within the bounds.

    At `max_answers` the oldest answer is dropped early. Whoever asks for it
    then is told that the job may have run, or that it did not run, as it was.
    """
    limits = board.settings.service.limits
    answers = board.jobs.answers
    answers.pop(answer.submission_id, None)
    answers[answer.submission_id] = KeptAnswer(
        answer, team, digest, board.now + limits.answer_retention_ms
    )
    held = ledger_of(board, answer.submission_id)
    if answer.fate is Fate.NOT_RUN and held is not None:
        mark_not_run(*held, answer.kind)
    drop_answers(board)


def drop_answers(board: Blackboard) -> None:
    """Drop answers whose time has passed, and the oldest above the bound."""
    answers = board.jobs.answers
    max_answers = board.settings.service.limits.max_answers
    while answers:
        oldest = next(iter(answers))
        if len(answers) <= max_answers and answers[oldest].kept_until_ms > board.now:
            return
        del answers[oldest]


def purge_serials(board: Blackboard) -> None:
    """Drop serials whose ids expired longer than `answer_retention_ms` ago.

    Until then an expired id that is not used is proved not to have run.
    """
    limit_ms = board.now - board.settings.service.limits.answer_retention_ms
    for ledger in board.jobs.ledgers.values():
        expired = [serial for serial, at_ms in ledger.used.items() if at_ms < limit_ms]
        for serial in expired:
            del ledger.used[serial]
            ledger.not_run.pop(serial, None)
            ledger.transferred.pop(serial, None)
