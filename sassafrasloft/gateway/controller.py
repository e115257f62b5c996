"""Takes callers' requests, hands jobs to the scheduler and answers."""

from sassafrasloft.blackboard import Controller, Event, TimerFired
from sassafrasloft.clock import Milliseconds
from sassafrasloft.gateway import handing_in
from sassafrasloft.gateway.answers import AnswerKind, CallerAnswer
from sassafrasloft.gateway.intake import IntakeShare
from sassafrasloft.gateway.requests import OpenJob
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import AnswerCaller, SendMessage
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    OWN_INSTANCE,
    CallerGone,
    GatewayMessage,
    JobRequested,
    JobStateRequested,
    QueueRequested,
    SchedulerBeat,
    SchedulerMessage,
    TargetChanged,
    TargetLost,
)
from sassafrasloft.instance.messages import (
    CancelJob,
    JobAnswer,
    JobState,
    Message,
    QueryJob,
    QueryQueue,
    QueueState,
    SubmitJob,
)
from sassafrasloft.instance.tracing import child_span, record_span
from sassafrasloft.invariants import InstanceInvariant
from sassafrasloft.scheduling import JobOutcome
from sassafrasloft.workload import Route

GIVE_UP_TIMER = "gateway.give_up"
GIVE_UP_MS = 10
"""Period of the check for jobs that no scheduler takes, in milliseconds."""
NO_TARGET = -1

_KINDS = {
    JobOutcome.COMPLETED.value: AnswerKind.COMPLETED,
    JobOutcome.FAILED.value: AnswerKind.FAILED,
    JobOutcome.CANCELLED.value: AnswerKind.CANCELLED,
    JobOutcome.REFUSED.value: AnswerKind.REFUSED,
    JobOutcome.MAY_HAVE_RUN.value: AnswerKind.MAY_HAVE_RUN,
    JobOutcome.NO_SUCH_ROUTE.value: AnswerKind.NO_SUCH_ROUTE,
}


@CONTROLLERS.register("gateway", order=30)
class GatewayController(Controller):
    """Owns `board.requests`."""

    handles = (
        JobRequested,
        JobStateRequested,
        QueueRequested,
        CallerGone,
        GatewayMessage,
        TargetChanged,
        TargetLost,
        SchedulerBeat,
        TimerFired,
    )

    def __init__(self) -> None:
        self._target = NO_TARGET
        self._checking = False
        self._acting = False
        self._lost_at = 0
        self._intake = IntakeShare()

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Handle requests, answers and changes of the scheduler."""
        if isinstance(event, JobRequested):
            self._take_job(event, board)
        elif isinstance(event, GatewayMessage):
            self._take_answer(event.message, board)
        elif isinstance(event, CallerGone):
            self._drop(event, board)
        elif isinstance(event, TargetChanged):
            self._change_target(event, board)
        elif isinstance(event, SchedulerBeat):
            self._hand_in_more(board)
        elif isinstance(event, TargetLost):
            self._lose_target(event, board)
        elif isinstance(event, JobStateRequested):
            self._ask_job(event, board)
        elif isinstance(event, QueueRequested):
            self._ask_queue(event, board)
        elif isinstance(event, TimerFired) and event.name == GIVE_UP_TIMER:
            self._give_up(board)

    # Requests

    def _route(self, request_id: int, host: str, path: str, board: InstanceBoard):
        """Return the route of a request, or answer that there is none."""
        configuration = board.configuration.current
        if configuration.version == 0:
            self._answer(
                request_id,
                CallerAnswer(
                    AnswerKind.UNAVAILABLE,
                    "no configuration yet",
                    board.tuning.shortest_retry_after_s,
                ),
                board,
            )
            return None
        route = configuration.route_for(host, path)
        if route is None:
            board.count("requests_without_route")
            board.log_request(
                "request_without_route",
                failed=True,
                host=host,
                path=path[:80],
                version=configuration.version,
            )
            self._answer(request_id, CallerAnswer(AnswerKind.NO_SUCH_ROUTE), board)
        return route

    def _take_job(self, event: JobRequested, board: InstanceBoard) -> None:
        route = self._route(event.request_id, event.host, event.path, board)
        if route is None:
            return
        unsupported = event.unsupported
        if not unsupported and route.needs_advice:
            unsupported = "routes with placement advice are not supported"
        if unsupported:
            board.count("jobs_unsupported")
            board.log_request(
                "job_unsupported",
                failed=True,
                job=event.job.job_id,
                reason=unsupported,
            )
            retry = board.tuning.shortest_retry_after_s
            answer = CallerAnswer(AnswerKind.UNAVAILABLE, unsupported, retry)
            self._answer(event.request_id, answer, board)
            return
        self._open_job(event, route, board)

    def _open_job(
        self, event: JobRequested, route: Route, board: InstanceBoard
    ) -> None:
        requests = board.requests
        known = requests.jobs.get(event.job.job_id)
        if known is not None:
            requests.job_of[event.request_id] = event.job.job_id
            known.requests.add(event.request_id)
            return
        requests.tasks_offered += sum(step.count for step in event.job.steps)
        remaining = event.remaining_ms or route.timeout_ms
        if not self._intake.admits(route, remaining, board.rights.intake_share):
            self._refuse_at_once(event, board)
            return
        requests.job_of[event.request_id] = event.job.job_id
        objective = route.objective_ms(event.job.chain_ms())
        job = OpenJob(event.job, route, board.now, board.now + remaining, objective)
        job.requests.add(event.request_id)
        if event.trace is not None:
            job.caller_span = event.trace
            job.span = child_span(event.trace, board)
        requests.jobs[event.job.job_id] = job
        board.count("requests_taken")
        self._submit(job, board)

    def _refuse_at_once(self, event: JobRequested, board: InstanceBoard) -> None:
        board.count("jobs_beyond_intake")
        board.log_request(
            "job_beyond_intake",
            failed=True,
            job=event.job.job_id,
            share=round(board.rights.intake_share, 2),
        )
        retry = board.tuning.shortest_retry_after_s
        answer = CallerAnswer(AnswerKind.REFUSED, "the scheduler is overloaded", retry)
        self._answer(event.request_id, answer, board)

    def _submit(self, job: OpenJob, board: InstanceBoard) -> None:
        if self._target == NO_TARGET:
            self._start_checking(board)
            return
        message = SubmitJob(
            job.job,
            job.route.name,
            board.now - job.arrived_at,
            max(0, job.deadline_at - board.now),
            job.sent,
            max(0, job.settled_at - board.now),
            job.former_revision,
            job.span.trace_id if job.span else "",
            job.span.span_id if job.span else "",
        )
        job.sent = True
        job.sent_to_current = True
        self._send(message, board)

    def _send(self, message: Message, board: InstanceBoard) -> None:
        if self._target == OWN_INSTANCE:
            board.post(SchedulerMessage(OWN_INSTANCE, message))
        else:
            board.emit(SendMessage(self._target, message))

    def _ask_job(self, event: JobStateRequested, board: InstanceBoard) -> None:
        if self._route(event.request_id, event.host, event.path, board) is None:
            return
        if self._target == NO_TARGET:
            self._answer_unavailable(event.request_id, board)
            return
        board.requests.questions[event.request_id] = ("job", event.job_id)
        if event.cancel:
            self._send(CancelJob(event.job_id, wants_answer=True), board)
        else:
            self._send(QueryJob(event.job_id), board)

    def _ask_queue(self, event: QueueRequested, board: InstanceBoard) -> None:
        route = self._route(event.request_id, event.host, event.path, board)
        if route is None:
            return
        if self._target == NO_TARGET:
            self._answer_unavailable(event.request_id, board)
            return
        board.requests.questions[event.request_id] = ("queue", route.name)
        self._send(QueryQueue(route.name), board)

    def _answer_unavailable(self, request_id: int, board: InstanceBoard) -> None:
        retry = board.tuning.shortest_retry_after_s
        answer = CallerAnswer(AnswerKind.UNAVAILABLE, "no scheduler", retry)
        self._answer(request_id, answer, board)

    def _drop(self, event: CallerGone, board: InstanceBoard) -> None:
        requests = board.requests
        requests.questions.pop(event.request_id, None)
        job_id = requests.job_of.pop(event.request_id, None)
        if job_id is None:
            return
        board.count("callers_gone")
        job = requests.jobs[job_id]
        job.requests.discard(event.request_id)
        if job.requests:
            return
        del requests.jobs[job_id]
        board.log_request(
            "caller_gone",
            job=job_id,
            reset=event.reset,
            after_ms=board.now - job.arrived_at,
        )
        if job.sent_to_current:
            self._send(CancelJob(job_id, False, may_return=event.reset), board)

    # Answers

    def _answer(
        self, request_id: int, answer: CallerAnswer, board: InstanceBoard
    ) -> None:
        board.count(f"answers_{answer.kind.value}")
        board.emit(AnswerCaller(request_id, answer))

    def _take_answer(self, message: Message, board: InstanceBoard) -> None:
        if isinstance(message, JobAnswer):
            job = board.requests.jobs.get(message.job_id)
            if job is not None:
                kind = _KINDS.get(message.outcome, AnswerKind.MAY_HAVE_RUN)
                answer = CallerAnswer(kind, message.reason, message.retry_after_s)
                self._close_job(job, answer, board)
        elif isinstance(message, JobState):
            self._answer_questions(
                ("job", message.job_id), _state_answer(message.state), board
            )
        elif isinstance(message, QueueState):
            answer = CallerAnswer(AnswerKind.PENDING, pending=message.pending)
            self._answer_questions(("queue", message.route), answer, board)

    def _answer_questions(
        self, asked: tuple[str, str], answer: CallerAnswer, board: InstanceBoard
    ) -> None:
        questions = board.requests.questions
        for request_id in [one for one, what in questions.items() if what == asked]:
            del questions[request_id]
            self._answer(request_id, answer, board)

    def _close_job(
        self, job: OpenJob, answer: CallerAnswer, board: InstanceBoard
    ) -> None:
        job_id = job.job.job_id
        del board.requests.jobs[job_id]
        duration = board.now - job.arrived_at
        board.measure(f"request_{answer.kind.value}", duration)
        failed = answer.kind is not AnswerKind.COMPLETED
        board.log_request(
            "request_answered",
            failed=failed or duration > job.objective_ms,
            job=job_id,
            route=job.route.name,
            version=board.configuration.current.version,
            answer=answer.kind.value,
            reason=answer.detail,
            duration_ms=duration,
        )
        if job.span is not None:
            record_span(
                board,
                job.span,
                job.caller_span,
                "request",
                job.arrived_at,
                job=job_id,
                answer=answer.kind.value,
            )
        for request_id in sorted(job.requests):
            asked_for = board.requests.job_of.pop(request_id, "")
            board.auditor.check(
                InstanceInvariant.ANSWER_REACHES_ITS_CALLER,
                asked_for == job_id,
                f"request {request_id} asked for {asked_for!r}, not {job_id}",
            )
            self._answer(request_id, answer, board)

    # The scheduler

    def _change_target(self, event: TargetChanged, board: InstanceBoard) -> None:
        self._target = event.stream_id
        self._acting = event.acting
        overlapped = event.since < self._lost_at
        for job in list(board.requests.jobs.values()):
            if job.sent and event.acting:
                # The scheduler that had it may go on with it out of reach.
                self._close_job(job, _may_have_run("scheduler lost"), board)
                continue
            if overlapped and job.former_revision:
                # The lost scheduler was at work beside this one.
                job.settled_at = self._lost_at + _settling_ms(board)
        handing_in.begin(board.requests.jobs.values(), board.requests)
        self._hand_in_more(board)

    def _hand_in_more(self, board: InstanceBoard) -> None:
        for job in handing_in.next_batch(board.requests):
            self._submit(job, board)

    def _lose_target(self, event: TargetLost, board: InstanceBoard) -> None:
        if self._target == NO_TARGET:
            return
        self._target = NO_TARGET
        self._lost_at = board.now
        board.requests.handing_in.clear()
        for job in board.requests.jobs.values():
            if job.sent_to_current:
                job.former_revision = 0 if self._acting else event.revision
                if self._acting:
                    job.settled_at = board.now + _settling_ms(board)
            job.sent_to_current = False
        for request_id in list(board.requests.questions):
            del board.requests.questions[request_id]
            self._answer_unavailable(request_id, board)
        if board.requests.jobs:
            self._start_checking(board)

    def _start_checking(self, board: InstanceBoard) -> None:
        if not self._checking:
            self._checking = True
            board.set_timer(GIVE_UP_TIMER, GIVE_UP_MS)

    def _give_up(self, board: InstanceBoard) -> None:
        """Refuse jobs that have waited for a scheduler for too long."""
        self._checking = False
        if self._target != NO_TARGET:
            return
        tuning = board.tuning
        hopeless = board.now - self._lost_at > tuning.silence_ms
        for job in list(board.requests.jobs.values()):
            waited = board.now - job.arrived_at
            if job.sent:
                if board.now >= job.deadline_at:
                    self._close_job(job, _may_have_run("no scheduler"), board)
            elif hopeless or waited >= _longest_wait(job, board):
                retry = tuning.shortest_retry_after_s
                answer = CallerAnswer(AnswerKind.UNAVAILABLE, "no scheduler", retry)
                self._close_job(job, answer, board)
        if board.requests.jobs:
            self._start_checking(board)


def _longest_wait(job: OpenJob, board: InstanceBoard) -> float:
    """Return how long a job may wait for a scheduler before it is refused."""
    return board.tuning.sure_wait_ms(job.route, job.job.chain_ms())


def _settling_ms(board: InstanceBoard) -> Milliseconds:
    """Return how long a scheduler that was lost may keep runs alive."""
    tuning = board.tuning
    lease = board.settings.longest_lease_ms + tuning.lapse_margin_ms
    return lease + tuning.silence_ms


def _may_have_run(reason: str) -> CallerAnswer:
    return CallerAnswer(AnswerKind.MAY_HAVE_RUN, reason)


def _state_answer(state: str) -> CallerAnswer:
    if not state:
        return CallerAnswer(AnswerKind.NO_SUCH_JOB)
    return CallerAnswer(AnswerKind.STATE, state)
