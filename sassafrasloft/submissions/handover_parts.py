"""The parts in which records go to the heir: ids, answers, unfinished jobs."""

from sassafrasloft.core import Blackboard
from sassafrasloft.messages import Handover, TransferredJob
from sassafrasloft.state import (
    DrainState,
    HandoverRecord,
    JobRecord,
    KeptAnswer,
)
from sassafrasloft.submissions.owners import ended_since

MAX_PART_OUTCOMES = 2_000
"""Outcomes of tasks in one part; more answers follow in later parts, so that a
part stays well under a megabyte with results of a few hundred bytes."""


def is_of(submission_id: str, key: str) -> bool:
    """Return whether an id was issued by the incarnation ``instance.incarnation``."""
    return submission_id.startswith(f"{key}.")


def next_part(
    board: Blackboard, drain: DrainState, key: str, record: HandoverRecord
) -> Handover | None:
    """Return what the heir is to be sent next about an incarnation.

    Returns
    -------
    Handover or None
        None if nothing is ready; the last part is sent when no job is left.
    """
    first = record.acknowledged == 0
    answers = _next_answers(board, key, record)
    jobs = [] if first else _ready_jobs(board, key)
    last = _is_last(board, key, record, answers, jobs)
    if not (first or answers or jobs or last):
        return None
    for job in jobs:
        job.handed_over = True
    ledger = board.jobs.ledgers[key]
    instance, _, incarnation = key.rpartition(".")
    return Handover(
        instance=instance,
        incarnation=incarnation,
        sequence=record.acknowledged + 1,
        secret=ledger.secret,
        last_serial=ledger.last_serial,
        used_serials=tuple(ledger.used) if first else (),
        answers=tuple(kept.answer for kept in answers),
        answer_teams=tuple(kept.team for kept in answers),
        jobs=tuple(_transferred(board, job) for job in jobs),
        heir_incarnation=drain.heir_incarnation,
        answer_digests=tuple(kept.digest for kept in answers),
        not_run_serials=tuple(ledger.not_run) if first else (),
        # By the clock that stamped the ids, whoever holds them now.
        sent_ms=board.now - ledger.clock_offset_ms,
        last=last,
    )


def _next_answers(
    board: Blackboard, key: str, record: HandoverRecord
) -> list[KeptAnswer]:
    answers: list[KeptAnswer] = []
    outcomes = 0
    for submission_id, kept in board.jobs.answers.items():
        if submission_id in record.handed or not is_of(submission_id, key):
            continue
        outcomes += 1 + len(kept.answer.outcomes)
        if answers and outcomes > MAX_PART_OUTCOMES:
            break
        answers.append(kept)
    return answers


def _ready_jobs(board: Blackboard, key: str) -> list[JobRecord]:
    """Return jobs whose tasks are ended or may be started by the heir."""
    return [
        job
        for job in board.jobs.running.values()
        if job.transferring
        and not job.in_flight
        and not job.failed_kind
        and is_of(job.submission_id, key)
    ]


def _is_last(
    board: Blackboard,
    key: str,
    record: HandoverRecord,
    answers: list[KeptAnswer],
    jobs: list[JobRecord],
) -> bool:
    ledger = board.jobs.ledgers[key]
    if ledger.origin_open and ended_since(board, key) is None:
        # The instance that this incarnation came from may still send records.
        return False
    own_jobs = [one for one in board.jobs.running if is_of(one, key)]
    if len(own_jobs) != len(jobs):
        return False
    handed = len(answers) + sum(one in board.jobs.answers for one in record.handed)
    return handed == sum(is_of(one, key) for one in board.jobs.answers)


def _transferred(board: Blackboard, job: JobRecord) -> TransferredJob:
    return TransferredJob(
        job.submission_id,
        job.spec,
        tuple(task.outcome for task in job.tasks),
        max(0, job.due_ms - board.now),
    )
