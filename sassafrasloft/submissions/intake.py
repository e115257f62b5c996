"""Requests of callers: ids, submitting, asking, cancelling."""

from collections.abc import Callable

from sassafrasloft.core import (
    AnswerRequested,
    Blackboard,
    Controller,
    Event,
    IdsRequested,
    JobCancelled,
    JobSubmitted,
    PeerMessageReceived,
    Started,
    TimerFired,
    register_controller,
)
from sassafrasloft.dispatch import admission_refusal
from sassafrasloft.errors import MalformedInput
from sassafrasloft.jobs import Answer, JobSpec
from sassafrasloft.messages import RequestKind
from sassafrasloft.submissions.forwarding import forward_ids, route_elsewhere
from sassafrasloft.submissions.ids import (
    SubmissionId,
    is_genuine,
    issue_id,
    issues_ids,
    own_ledger,
    parse_submission_id,
)
from sassafrasloft.submissions.local import handle_here
from sassafrasloft.submissions.records import (
    PURGE_PERIOD_MS,
    drop_answers,
    purge_serials,
)
from sassafrasloft.submissions.refusals import FailureKind, no_end_yet, not_run
from sassafrasloft.submissions.requests import (
    Request,
    answer_request,
    answer_with_ids,
    open_request,
    request_of,
)

PURGE_TIMER = "submissions.purge"

Admission = Callable[[Blackboard, JobSpec], Answer | None]


@register_controller("submissions.intake", 30)
class IntakeController(Controller):
    """Takes requests of callers, directly or forwarded by a peer.

    Parameters
    ----------
    admission : callable
        Says why a job is refused now; dispatch's admission by default.
    """

    handles = (
        Started,
        IdsRequested,
        JobSubmitted,
        AnswerRequested,
        JobCancelled,
        PeerMessageReceived,
        TimerFired,
    )

    def __init__(self, admission: Admission = admission_refusal) -> None:
        self._admission = admission

    def react(self, event: Event, board: Blackboard) -> None:
        """Handle one request."""
        if isinstance(event, Started):
            own_ledger(board)
            board.set_timer(PURGE_TIMER, PURGE_PERIOD_MS)
            return
        if isinstance(event, TimerFired):
            self._purge(event, board)
            return
        request = request_of(event)
        if request is not None and open_request(board, request):
            self._handle(request, board)

    def _purge(self, event: TimerFired, board: Blackboard) -> None:
        if event.name != PURGE_TIMER:
            return
        purge_serials(board)
        drop_answers(board)
        board.set_timer(PURGE_TIMER, PURGE_PERIOD_MS)

    def _handle(self, request: Request, board: Blackboard) -> None:
        if board.jobs.drain is not None and board.jobs.drain.exited:
            _refuse_after_exit(request, board)
            return
        if request.kind is RequestKind.IDS:
            _give_ids(request, board)
            return
        parsed = parse_submission_id(request.submission_id)
        submission_id = parsed.value_or(None)
        if submission_id is None:
            _refuse_malformed(request, parsed.failure(), board)
            return
        ledger = board.jobs.ledgers.get(submission_id.owner)
        if ledger is None:
            route_elsewhere(board, request, submission_id)
        elif is_genuine(ledger, submission_id, request.team):
            handle_here(board, request, submission_id, ledger, self._admission)
        else:
            _refuse_unknown(request, submission_id, board)


def _give_ids(request: Request, board: Blackboard) -> None:
    most = board.settings.service.limits.max_ids_per_request
    if not 1 <= request.count <= most:
        answer = not_run(
            "",
            FailureKind.MALFORMED_INPUT,
            f"count: found {request.count}",
            f"Ask for 1 to {most} ids.",
        )
        answer_request(board, request.requester, request.team, answer)
    elif issues_ids(board):
        ids = tuple(issue_id(board, request.team) for _ in range(request.count))
        answer_with_ids(board, request.requester, ids)
    else:
        forward_ids(board, request)


def _refuse_after_exit(request: Request, board: Blackboard) -> None:
    """Answer at once: the process ends before another owner could answer."""
    answer = no_end_yet(
        request.submission_id,
        FailureKind.INSTANCE_LEAVING,
        "this instance has stopped; another one answers",
        board.settings.service.membership.handover_retry_ms,
    )
    answer_request(board, request.requester, request.team, answer)


def _refuse_malformed(
    request: Request, error: MalformedInput, board: Blackboard
) -> None:
    answer = not_run(request.submission_id, error.kind, error.found, error.remedy)
    answer_request(board, request.requester, request.team, answer)


def _refuse_unknown(
    request: Request, submission_id: SubmissionId, board: Blackboard
) -> None:
    answer = not_run(
        request.submission_id,
        FailureKind.UNKNOWN_ID,
        f"{submission_id.owner} never issued this id to the team {request.team!r}",
        "Use an id from POST /v1/submission-ids or from an answer to this team.",
    )
    board.metrics.add("ids_unknown")
    answer_request(board, request.requester, request.team, answer)
