"""Task records, the end of a job and its answer."""

from sassafrasloft.core import (
    Blackboard,
    JobEnded,
    JobStopped,
    RecordSpan,
)
from sassafrasloft.invariants import Invariant
from sassafrasloft.jobs import Answer, Fate, TaskOutcome
from sassafrasloft.state import JobRecord, TaskRecord, TaskState
from sassafrasloft.submissions.checks import job_digest
from sassafrasloft.submissions.records import keep_answer
from sassafrasloft.submissions.refusals import FailureKind, may_have_run, not_run
from sassafrasloft.submissions.waiting import answer_waiters


def end_task(record: JobRecord, task: TaskRecord, outcome: TaskOutcome) -> None:
    """Give a task its end and keep the counts of its job."""
    if task.state is TaskState.WAITING:
        record.waiting -= 1
    elif task.state is TaskState.SENT:
        record.in_flight -= 1
        if outcome.fate is Fate.NOT_RUN:
            task.returned += 1
    task.state = TaskState.ENDED
    task.outcome = outcome


def stop_job(board: Blackboard, record: JobRecord, kind: str, detail: str) -> None:
    """Send no further task of a job; waiting tasks end as not run."""
    if record.failed_kind:
        return
    record.failed_kind = str(kind)
    record.failed_detail = detail
    for task in record.tasks:
        if task.state is TaskState.WAITING:
            outcome = TaskOutcome(task.spec.name, Fate.NOT_RUN, reason=str(kind))
            end_task(record, task, outcome)
    board.post(JobStopped(record.submission_id))


def could_have_started(task: TaskRecord) -> bool:
    """Return whether it is not proved that no placement started the task."""
    proved = task.outcome is None or task.outcome.fate is Fate.NOT_RUN
    return not proved or task.placements != task.returned


def job_answer(record: JobRecord) -> Answer:
    """Return the answer to a job all of whose tasks are ended."""
    outcomes = tuple(task.outcome for task in record.tasks if task.outcome is not None)
    submission_id = record.submission_id
    if len(outcomes) == len(record.tasks) and all(
        outcome.fate is Fate.COMPLETE for outcome in outcomes
    ):
        return Answer(submission_id, Fate.COMPLETE, outcomes=outcomes)
    kind = record.failed_kind or FailureKind.TASK_FAILED
    if any(could_have_started(task) for task in record.tasks):
        return may_have_run(submission_id, kind, record.failed_detail)
    return not_run(submission_id, kind, record.failed_detail)


def finish_if_ended(board: Blackboard, record: JobRecord) -> None:
    """Answer a job once no task of it waits or is in flight."""
    if record.waiting or record.in_flight or record.handed_over:
        return
    answer = job_answer(record)
    check_answer(board, record, answer)
    del board.jobs.running[record.submission_id]
    keep_answer(board, answer, record.spec.team, job_digest(record.spec))
    board.post(JobEnded(record.submission_id))
    board.metrics.add(f"jobs_{answer.fate.value}")
    board.metrics.sample("job_response_ms", board.now - record.accepted_ms)
    _record_span(board, record, answer)
    answer_waiters(board, record.submission_id, record.spec.team, answer)


def check_answer(board: Blackboard, record: JobRecord, answer: Answer) -> None:
    """Check that an answer is whole and says only what is proved."""
    names = tuple(task.name for task in record.spec.tasks)
    if answer.fate is Fate.COMPLETE:
        whole = names == tuple(outcome.name for outcome in answer.outcomes) and all(
            outcome.fate is Fate.COMPLETE for outcome in answer.outcomes
        )
    else:
        whole = answer.fate is not Fate.RUNNING and not answer.outcomes
    ended = all(task.state is TaskState.ENDED for task in record.tasks)
    board.auditor.check(
        Invariant.ANSWERS_ARE_WHOLE,
        whole and ended,
        f"{answer.submission_id}: {answer.fate.value} with {len(answer.outcomes)} of "
        f"{len(names)} outcomes",
    )
    board.auditor.check(
        Invariant.NOT_RUN_IS_TRUE,
        answer.fate is not Fate.NOT_RUN
        or not any(could_have_started(task) for task in record.tasks),
        f"{answer.submission_id}: answered not run although a task was sent",
    )


def _record_span(board: Blackboard, record: JobRecord, answer: Answer) -> None:
    if record.trace_id:
        board.emit(
            RecordSpan(
                record.trace_id,
                record.span_id,
                record.parent_span_id,
                "job",
                record.accepted_ms,
                board.now,
                (("submission_id", record.submission_id), ("fate", answer.fate.value)),
            )
        )
