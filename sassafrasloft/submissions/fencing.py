"""Fencing of ended incarnations, and what the runners' replies prove."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import Blackboard, Fence, FenceReported, SendToPeer
from sassafrasloft.invariants import Invariant
from sassafrasloft.jobs import (
    Answer,
    Fate,
    JobSpec,
    ReportState,
    TaskOutcome,
    TaskReport,
)
from sassafrasloft.messages import FenceResult, RequestKind
from sassafrasloft.state import FenceRecord
from sassafrasloft.submissions.checks import job_digest
from sassafrasloft.submissions.ids import SubmissionId
from sassafrasloft.submissions.owners import Owner, live_peers
from sassafrasloft.submissions.records import keep_answer
from sassafrasloft.submissions.refusals import (
    FailureKind,
    may_have_run,
    no_end_yet,
    not_run,
)
from sassafrasloft.submissions.requests import Request

FENCE_TIMER = "submissions.fence/"

MAX_FENCES = 64
"""Ended incarnations whose results are kept; days at 20 crashes a day. The one
not used for longest is dropped, and runners are asked again if it is needed."""

MAX_OFFERED_REPORTS = 2_000
"""Task results offered to peers in one message; more would use up the control
traffic of many seconds, and peers can ask the runners themselves."""

CLOCK_MARGIN_MS: Milliseconds = 1_000
"""Gossip takes less than this in the best case, even between regions; the time
of issue of another instance's id is not known better than this."""

STARTED_STATES = (ReportState.COMPLETE, ReportState.FAILED, ReportState.RUNNING)


def recovery_done(board: Blackboard, owner: Owner) -> bool:
    """Return whether all that can be learnt about ended incarnations is known.

    The runners are asked, after a time, if they were not.
    """
    fences = [_ensure_fence(board, key, owner.gone_ms) for key in owner.ended]
    return all(fence.done for fence in fences)


def recovered_answer(
    board: Blackboard, request: Request, submission_id: SubmissionId, owner: Owner
) -> Answer:
    """Return what is proved about a submission of ended incarnations."""
    fences = [board.jobs.fences[key] for key in owner.ended]
    reports: dict[int, TaskReport] = {}
    for fence in fences:
        reports.update(fence.started.get(request.submission_id, {}))
    proved = all(_covers(board, fence, submission_id) for fence in fences)
    answer = _conclude(request, reports, proved)
    _check(board, request.job, reports, proved, answer)
    if answer.final and request.job is not None:
        keep_answer(board, answer, request.team, job_digest(request.job))
    board.metrics.add(f"jobs_recovered_{answer.fate.value}")
    return answer


def _covers(board: Blackboard, fence: FenceRecord, submission_id: SubmissionId) -> bool:
    """Return whether tasks that the fence does not list are proved not started.

    All runners must have answered, and none of them may have restarted since the
    id was issued: a runner that restarted lists no task that it started before.
    """
    offset_ms = board.jobs.observations.clock_offsets_ms.get(submission_id.owner)
    if fence.unproved or offset_ms is None:
        return False
    issued_ms = submission_id.issued_ms + offset_ms
    return issued_ms - CLOCK_MARGIN_MS >= fence.since_ms


def _conclude(request: Request, reports: dict[int, TaskReport], proved: bool) -> Answer:
    submission_id, job = request.submission_id, request.job
    if not reports and proved:
        return not_run(
            submission_id,
            FailureKind.OWNER_GONE,
            "the owning instance crashed before it started a task of the job",
        )
    if job is not None and _all_complete(job, reports):
        outcomes = tuple(
            TaskOutcome(task.name, Fate.COMPLETE, reports[index].result)
            for index, task in enumerate(job.tasks)
        )
        return Answer(submission_id, Fate.COMPLETE, outcomes=outcomes)
    if job is None and reports and request.kind is not RequestKind.CANCEL:
        return no_end_yet(
            submission_id,
            FailureKind.OWNER_GONE,
            "the owning instance crashed; results can be matched with the job only "
            "if it is submitted again under the same id",
            0,
        )
    detail = "the owning instance crashed and not every result was recovered"
    return may_have_run(submission_id, FailureKind.OWNER_GONE, detail)


def _all_complete(job: JobSpec, reports: dict[int, TaskReport]) -> bool:
    return set(reports) == set(range(len(job.tasks))) and all(
        report.state is ReportState.COMPLETE for report in reports.values()
    )


def _check(
    board: Blackboard,
    job: JobSpec | None,
    reports: dict[int, TaskReport],
    proved: bool,
    answer: Answer,
) -> None:
    names = tuple(task.name for task in job.tasks) if job is not None else ()
    outcomes = tuple(outcome.name for outcome in answer.outcomes)
    board.auditor.check(
        Invariant.ANSWERS_ARE_WHOLE,
        outcomes == (names if answer.fate is Fate.COMPLETE else ()),
        f"{answer.submission_id}: recovered {len(outcomes)} of {len(names)} outcomes",
    )
    board.auditor.check(
        Invariant.NOT_RUN_IS_TRUE,
        answer.fate is not Fate.NOT_RUN or (proved and not reports),
        f"{answer.submission_id}: answered not run without proof",
    )


def _ensure_fence(board: Blackboard, key: str, gone_ms: Milliseconds) -> FenceRecord:
    """Return the fence of an incarnation; plan it when it is first needed."""
    fences = board.jobs.fences
    if key in fences:
        fences[key] = fences.pop(key)
        return fences[key]
    while len(fences) >= MAX_FENCES:
        del fences[next(iter(fences))]
    begin_ms = gone_ms + board.settings.service.platform.list_lag_ms
    fences[key] = FenceRecord(begin_ms)
    board.set_timer(f"{FENCE_TIMER}{key}", begin_ms - board.now)
    return fences[key]


def begin_fence(board: Blackboard, key: str, fence: FenceRecord) -> None:
    """Ask every known runner, and end the wait for their replies after a time."""
    fence.begun = True
    settings = board.settings.service
    names = dict.fromkeys([runner.name for runner in settings.runners])
    names.update(dict.fromkeys(board.upstreams.runners))
    fence.waiting = names
    incarnation = key.rpartition(".")[2]
    for runner in names:
        board.metrics.add("messages_fence")
        board.emit(Fence(runner, incarnation))
    limit_ms = settings.upstreams.connect_timeout_ms
    limit_ms += 2 * settings.upstreams.settle_timeout_ms
    board.set_timer(f"{FENCE_TIMER}{key}", limit_ms)
    if not names:
        fence.unproved.append("no runner is known")
    board.log("WARNING", "fencing", incarnation=key, runners=len(names))


def add_report(board: Blackboard, fence: FenceRecord, event: FenceReported) -> None:
    """Enter a runner's reply; a late one adds results but no proof."""
    if event.reachable:
        for report in event.started:
            _add_started(fence, report)
    if event.runner not in fence.waiting:
        return
    del fence.waiting[event.runner]
    seen = board.jobs.observations.runners.get(event.runner)
    known = seen is not None and seen.incarnation == event.runner_incarnation
    if seen is None or not known or not event.reachable:
        fence.unproved.append(event.runner)
    else:
        fence.since_ms = max(fence.since_ms, seen.since_ms)


def _add_started(fence: FenceRecord, report: TaskReport) -> None:
    if report.state not in STARTED_STATES:
        return
    tasks = fence.started.setdefault(report.key.submission_id, {})
    known = tasks.get(report.key.index)
    if known is None or known.state is ReportState.RUNNING:
        tasks[report.key.index] = report


def finish_fence(board: Blackboard, key: str, fence: FenceRecord) -> None:
    """Conclude what the replies prove and offer the result to peers."""
    fence.unproved.extend(fence.waiting)
    fence.waiting = {}
    fence.done = True
    board.log("WARNING", "fenced", incarnation=key, without_proof=fence.unproved)
    reports = tuple(
        report for tasks in fence.started.values() for report in tasks.values()
    )
    offset_ms = board.jobs.observations.clock_offsets_ms.get(key)
    if fence.unproved or offset_ms is None or len(reports) > MAX_OFFERED_REPORTS:
        return
    instance, _, incarnation = key.rpartition(".")
    since_ms = fence.since_ms - offset_ms
    for peer in live_peers(board):
        board.metrics.add("messages_fence")
        result = FenceResult(instance, incarnation, True, reports, since_ms)
        board.emit(SendToPeer(peer, result))


def adopt_result(board: Blackboard, key: str, result: FenceResult) -> bool:
    """Take over what a peer proved; return whether a fence is done by it."""
    offset_ms = board.jobs.observations.clock_offsets_ms.get(key)
    if not result.complete or offset_ms is None:
        return False
    fence = _ensure_fence(board, key, board.now)
    for report in result.started:
        _add_started(fence, report)
    fence.begun = True
    fence.done = True
    fence.since_ms = result.proved_issued_ms + offset_ms
    fence.waiting = {}
    fence.unproved = []
    return True
