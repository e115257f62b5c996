"""Requests for submissions whose ledger is held here."""

from collections.abc import Callable

from sassafrasloft.core import Blackboard, JobAccepted, StopTasks
from sassafrasloft.invariants import Invariant
from sassafrasloft.jobs import Answer, JobSpec, TaskKey
from sassafrasloft.messages import RequestKind
from sassafrasloft.state import JobRecord, SubmissionLedger, TaskRecord, TaskState
from sassafrasloft.submissions.checks import job_digest, job_refusal
from sassafrasloft.submissions.completion import finish_if_ended, stop_job
from sassafrasloft.submissions.forwarding import forward
from sassafrasloft.submissions.ids import SubmissionId, expiry_ms
from sassafrasloft.submissions.records import (
    MAX_USED_SERIALS,
    mark_not_run,
    use_serial,
    was_answered_not_run,
)
from sassafrasloft.submissions.refusals import (
    NEW_ID_REMEDY,
    RUNNING_RETRY_MS,
    FailureKind,
    may_have_run,
    no_end_yet,
    not_run,
)
from sassafrasloft.submissions.requests import Request, answer_request
from sassafrasloft.submissions.tasks import DUE_TIMER
from sassafrasloft.submissions.waiting import wait_for_answer

Admission = Callable[[Blackboard, JobSpec], Answer | None]


def handle_here(
    board: Blackboard,
    request: Request,
    submission_id: SubmissionId,
    ledger: SubmissionLedger,
    admission: Admission,
) -> None:
    """Handle a request for a genuine id of an incarnation held here."""
    if request.submission_id in board.jobs.running:
        _handle_running(board, request)
        return
    if submission_id.serial in ledger.transferred:
        forward(board, request, ledger.heir, submission_id.owner)
        return
    answer = _known_answer(board, request, submission_id, ledger)
    if answer is None and submission_id.serial in ledger.used:
        _handle_used(board, request, submission_id, ledger)
        return
    if answer is None:
        answer = _expired_answer(board, request, submission_id, ledger)
    if answer is None and not ledger.accepting:
        _handle_stopped(board, request, submission_id, ledger)
        return
    if answer is None:
        answer = _first_use(board, request, submission_id, ledger, admission)
    if answer is not None:
        answer_request(board, request.requester, request.team, answer)


def _handle_running(board: Blackboard, request: Request) -> None:
    record = board.jobs.running[request.submission_id]
    if request.job is not None and request.job != record.spec:
        answer = _conflict(request, proved_not_run=False)
        answer_request(board, request.requester, request.team, answer)
        return
    wait_ms = request.wait_ms
    if request.kind is RequestKind.CANCEL:
        # Long enough for runners to answer that they stopped the tasks.
        wait_ms = board.settings.service.upstreams.settle_timeout_ms
        # The job may end at once, so the request must wait before.
        wait_for_answer(board, request, wait_ms)
        cancel_job(board, record)
        return
    wait_for_answer(board, request, wait_ms)


def cancel_job(board: Blackboard, record: JobRecord) -> None:
    """Start no further task of a job and ask runners to stop those in flight."""
    if record.cancelled or record.handed_over:
        return
    record.cancelled = True
    stop_job(board, record, FailureKind.CANCELLED, "the caller cancelled the job")
    _stop_in_flight(board, record)
    finish_if_ended(board, record)


def _stop_in_flight(board: Blackboard, record: JobRecord) -> None:
    """Ask runners to stop tasks, one message for each incarnation addressed."""
    addressed: dict[tuple[str, str], list[TaskKey]] = {}
    for index, task in enumerate(record.tasks):
        state = board.upstreams.runners.get(task.runner)
        if task.state is not TaskState.SENT or state is None:
            continue
        key = TaskKey(record.submission_id, index)
        sent = state.in_flight.get(key)
        incarnation = sent.runner_incarnation if sent else state.incarnation
        addressed.setdefault((task.runner, incarnation), []).append(key)
    for (runner, incarnation), keys in addressed.items():
        board.metrics.add("messages_stop")
        board.emit(StopTasks(runner, incarnation, tuple(keys)))


def _conflict(request: Request, proved_not_run: bool) -> Answer:
    detail = "the id was used with a different job; this one was not started"
    if proved_not_run:
        return not_run(request.submission_id, FailureKind.ID_CONFLICT, detail)
    # Says nothing about the first job, which the caller may mean by this id.
    return may_have_run(request.submission_id, FailureKind.ID_CONFLICT, detail)


def _known_answer(
    board: Blackboard,
    request: Request,
    submission_id: SubmissionId,
    ledger: SubmissionLedger,
) -> Answer | None:
    refused = submission_id.serial in ledger.not_run
    kept = board.jobs.answers.get(request.submission_id)
    if kept is not None:
        if request.job is not None and job_digest(request.job) != kept.digest:
            return _conflict(request, proved_not_run=refused)
        return kept.answer
    if refused:
        return not_run(
            request.submission_id,
            ledger.not_run[submission_id.serial],
            "the submission was refused or failed before any task ran",
        )
    return None


def _handle_used(
    board: Blackboard,
    request: Request,
    submission_id: SubmissionId,
    ledger: SubmissionLedger,
) -> None:
    """Handle a used serial of which no job and no answer is held here."""
    gone = submission_id.owner in board.peers.gone
    if ledger.origin_open and not gone:
        forward(board, request, ledger.origin, submission_id.owner)
        return
    kind, detail = FailureKind.ANSWER_DROPPED, "the answer is no longer kept"
    if ledger.origin_open:
        kind = FailureKind.OWNER_GONE
        detail = f"{ledger.origin} ended before it handed this job over"
    answer = may_have_run(request.submission_id, kind, detail)
    answer_request(board, request.requester, request.team, answer)


def _expired_answer(
    board: Blackboard,
    request: Request,
    submission_id: SubmissionId,
    ledger: SubmissionLedger,
) -> Answer | None:
    expires_ms = expiry_ms(board, ledger, submission_id)
    if board.now < expires_ms:
        return None
    kind = FailureKind.ID_EXPIRED
    retention_ms = board.settings.service.limits.answer_retention_ms
    if board.now < expires_ms + retention_ms:
        # Used serials are kept for that long, and this one is not among them.
        return not_run(request.submission_id, kind, "the id expired unused")
    detail = "the id expired; whether it was used is no longer known"
    return may_have_run(request.submission_id, kind, detail)


def _handle_stopped(
    board: Blackboard,
    request: Request,
    submission_id: SubmissionId,
    ledger: SubmissionLedger,
) -> None:
    """Handle an unused id of an incarnation that accepts no more."""
    if ledger.heir:
        forward(board, request, ledger.heir, submission_id.owner)
        return
    drain = board.jobs.drain
    if drain is not None and submission_id.owner in drain.parts:
        answer = no_end_yet(
            request.submission_id,
            FailureKind.INSTANCE_LEAVING,
            "this instance stops and hands its ids over to another one",
            board.settings.service.membership.handover_retry_ms,
        )
    else:
        answer = not_run(
            request.submission_id,
            FailureKind.AUTHORITY_LOST,
            "the instance was paused; ids from before the pause are void",
        )
    answer_request(board, request.requester, request.team, answer)


def _first_use(
    board: Blackboard,
    request: Request,
    submission_id: SubmissionId,
    ledger: SubmissionLedger,
    admission: Admission,
) -> Answer | None:
    """Handle an unused id; return the answer unless the job was accepted."""
    if request.kind is RequestKind.ASK:
        detail = "no job was submitted under this id so far"
        return no_end_yet(
            request.submission_id, FailureKind.NOT_SUBMITTED, detail, RUNNING_RETRY_MS
        )
    if request.kind is RequestKind.CANCEL or request.job is None:
        detail = "the submission was cancelled before a job came"
        answer = not_run(request.submission_id, FailureKind.CANCELLED, detail)
    else:
        answer = _refusal(board, request, ledger, admission)
    use_serial(board, ledger, submission_id)
    if answer is not None:
        # A refusal uses the id up, so that it stays true.
        mark_not_run(ledger, submission_id, answer.kind)
        board.metrics.add(f"jobs_refused_{answer.kind}")
        return answer
    _accept(board, request)
    return None


def _refusal(
    board: Blackboard, request: Request, ledger: SubmissionLedger, admission: Admission
) -> Answer | None:
    assert request.job is not None
    refusal = job_refusal(board, request.submission_id, request.job)
    if refusal is not None:
        return refusal
    limits = board.settings.service.limits
    full = len(board.jobs.running) >= limits.max_jobs
    if full or len(ledger.used) >= MAX_USED_SERIALS:
        return not_run(
            request.submission_id,
            FailureKind.OVERLOADED,
            f"{len(board.jobs.running)} jobs are running here",
            f"Wait a little. {NEW_ID_REMEDY}",
            retry_after_ms=RUNNING_RETRY_MS,
        )
    refusal = admission(board, request.job)
    if refusal is None:
        return None
    return not_run(
        request.submission_id,
        refusal.kind,
        refusal.detail,
        refusal.remedy or NEW_ID_REMEDY,
        refusal.retry_after_ms,
    )


def _accept(board: Blackboard, request: Request) -> None:
    assert request.job is not None
    trace = request.trace
    record = JobRecord(
        submission_id=request.submission_id,
        spec=request.job,
        tasks=[TaskRecord(task) for task in request.job.tasks],
        accepted_ms=board.now,
        due_ms=board.now + request.job.deadline_ms,
        waiting=len(request.job.tasks),
        trace_id=trace.trace_id,
        span_id=board.fresh_span_id() if trace.trace_id else "",
        parent_span_id=trace.span_id,
    )
    run_job(board, record)
    board.metrics.add("jobs_accepted")
    wait_for_answer(board, request, request.wait_ms)


def run_job(board: Blackboard, record: JobRecord) -> None:
    """Enter a job among the running ones and let dispatch queue its tasks."""
    board.auditor.check(
        Invariant.NOT_RUN_IS_TRUE,
        not was_answered_not_run(board, record.submission_id),
        f"{record.submission_id} was accepted after it was answered not run",
    )
    board.jobs.running[record.submission_id] = record
    board.set_timer(
        f"{DUE_TIMER}{record.submission_id}", max(0, record.due_ms - board.now)
    )
    board.post(JobAccepted(record.submission_id))
