"""Handles callers' requests: submits jobs to the scheduler and relays its answers."""

from sassafrasloft.blackboard import Controller, Event, TimerFired
from sassafrasloft.clock import Milliseconds
from sassafrasloft.gateway import resubmission
from sassafrasloft.gateway.answers import (
    AnswerKind,
    CallerAnswer,
    job_state_answer,
    may_have_run_answer,
    no_scheduler_answer,
)
from sassafrasloft.gateway.intake import IntakeFilter
from sassafrasloft.gateway.requests import OpenJob, PendingQuery
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import AnswerCaller, SendMessage
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    OWN_INSTANCE,
    CallerGone,
    JobRequested,
    JobStateRequested,
    MessageForGateway,
    MessageForScheduler,
    QueueRequested,
    SchedulerChanged,
    SchedulerHeartbeat,
    SchedulerLost,
)
from sassafrasloft.instance.message_codec import Message
from sassafrasloft.instance.messages import (
    CancelJob,
    JobAnswer,
    JobState,
    QueryJob,
    QueryQueue,
    QueueState,
    SubmitJob,
)
from sassafrasloft.instance.tracing import child_span, record_span
from sassafrasloft.invariants import InstanceInvariant
from sassafrasloft.scheduling import JobOutcome
from sassafrasloft.scheduling.lateness import CallerRetryDetector
from sassafrasloft.workload import Route

EXPIRY_TIMER = "gateway.give_up"
EXPIRY_CHECK_PERIOD_MS = 10
"""Period of the check for jobs that have waited too long without a scheduler."""
NO_SCHEDULER = -1

_KIND_OF_OUTCOME = {
    JobOutcome.COMPLETED.value: AnswerKind.COMPLETED,
    JobOutcome.FAILED.value: AnswerKind.FAILED,
    JobOutcome.CANCELLED.value: AnswerKind.CANCELLED,
    JobOutcome.REFUSED.value: AnswerKind.REFUSED,
    JobOutcome.MAY_HAVE_RUN.value: AnswerKind.MAY_HAVE_RUN,
    JobOutcome.NO_SUCH_ROUTE.value: AnswerKind.NO_SUCH_ROUTE,
}


@CONTROLLERS.register("gateway", order=30)
class GatewayController(Controller):
    """Tracks the open requests of callers; the only writer of `board.requests`."""

    handles = (
        JobRequested,
        JobStateRequested,
        QueueRequested,
        CallerGone,
        MessageForGateway,
        SchedulerChanged,
        SchedulerLost,
        SchedulerHeartbeat,
        TimerFired,
    )

    def __init__(self) -> None:
        self._scheduler_stream = NO_SCHEDULER
        self._expiry_timer_running = False
        self._scheduler_acting = False
        self._scheduler_lost_at = 0
        self._intake = IntakeFilter()
        self._retry_detector = CallerRetryDetector()

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Handle callers' requests, the scheduler's answers and scheduler changes."""
        if isinstance(event, JobRequested):
            self._receive_job(event, board)
        elif isinstance(event, MessageForGateway):
            self._receive_answer(event.message, board)
        elif isinstance(event, CallerGone):
            self._disconnect_caller(event, board)
        elif isinstance(event, SchedulerChanged):
            self._switch_scheduler(event, board)
        elif isinstance(event, SchedulerHeartbeat):
            self._submit_next_batch(board)
        elif isinstance(event, SchedulerLost):
            self._lose_scheduler(event, board)
        elif isinstance(event, JobStateRequested):
            self._query_job(event, board)
        elif isinstance(event, QueueRequested):
            self._query_queue(event, board)
        elif isinstance(event, TimerFired) and event.name == EXPIRY_TIMER:
            self._expire_waiting_jobs(board)

    # Requests of callers

    def _route(self, request_id: int, host: str, path: str, board: InstanceBoard):
        """Return the route of a request, or answer the request and return None."""
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

    def _receive_job(self, event: JobRequested, board: InstanceBoard) -> None:
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
            retry_after_s = board.tuning.shortest_retry_after_s
            answer = CallerAnswer(AnswerKind.UNAVAILABLE, unsupported, retry_after_s)
            self._answer(event.request_id, answer, board)
            return
        self._open_job(event, route, board)

    def _open_job(
        self, event: JobRequested, route: Route, board: InstanceBoard
    ) -> None:
        requests = board.requests
        known = requests.jobs.get(event.job.job_id)
        if known is not None:
            requests.job_id_of_request[event.request_id] = event.job.job_id
            known.requests.add(event.request_id)
            return
        requests.tasks_offered += sum(step.count for step in event.job.steps)
        remaining_ms = event.remaining_ms or route.timeout_ms
        is_retry = self._retry_detector.record_request(route, remaining_ms)
        if not self._intake.admits(route, is_retry, board.leadership.intake_share):
            self._reject_for_overload(event, board)
            return
        requests.job_id_of_request[event.request_id] = event.job.job_id
        objective_ms = route.objective_ms(event.job.critical_path_ms())
        job = OpenJob(
            event.job,
            route,
            board.now,
            board.now + remaining_ms,
            objective_ms,
            is_caller_retry=is_retry,
            configuration_version=board.configuration.current.version,
        )
        job.requests.add(event.request_id)
        if event.trace is not None:
            job.caller_span = event.trace
            job.span = child_span(event.trace, board)
        requests.jobs[event.job.job_id] = job
        board.count("requests_taken")
        self._submit(job, board)

    def _reject_for_overload(self, event: JobRequested, board: InstanceBoard) -> None:
        board.count("jobs_beyond_intake")
        board.log_request(
            "job_beyond_intake",
            failed=True,
            job=event.job.job_id,
            share=round(board.leadership.intake_share, 2),
        )
        retry_after_s = board.tuning.shortest_retry_after_s
        answer = CallerAnswer(
            AnswerKind.REFUSED, "the scheduler is overloaded", retry_after_s
        )
        self._answer(event.request_id, answer, board)

    def _submit(self, job: OpenJob, board: InstanceBoard) -> None:
        if self._scheduler_stream == NO_SCHEDULER:
            self._start_expiry_timer(board)
            return
        version, accepted_route = self._accepted_route(job, board)
        message = SubmitJob(
            job.job,
            job.route.name,
            board.now - job.arrived_at,
            max(0, job.deadline_at - board.now),
            job.sent,
            max(0, job.predecessor_runs_end_at - board.now),
            job.predecessor_revision,
            job.span.trace_id if job.span else "",
            job.span.span_id if job.span else "",
            configuration_version=version,
            accepted_route=accepted_route,
        )
        job.sent = True
        job.sent_to_scheduler = True
        self._send(message, board)

    @staticmethod
    def _accepted_route(job: OpenJob, board: InstanceBoard) -> tuple[int, Route | None]:
        """Return the route of a job, with its version, if the scheduler may lack it.

        A newer configuration of a new scheduler may lack a route by which an earlier
        scheduler has started the job.
        """
        version = job.configuration_version
        scheduler_version = board.leadership.scheduler_configuration_version
        if version <= scheduler_version and not job.sent:
            return 0, None
        return version, job.route

    def _send(self, message: Message, board: InstanceBoard) -> None:
        if self._scheduler_stream == OWN_INSTANCE:
            board.post(MessageForScheduler(OWN_INSTANCE, message))
        else:
            board.emit(SendMessage(self._scheduler_stream, message))

    def _query_job(self, event: JobStateRequested, board: InstanceBoard) -> None:
        """Ask the scheduler for a job, or to cancel it.

        A job outlives its route, so that the route is looked up only if the scheduler
        does not know the job.
        """
        if self._scheduler_stream == NO_SCHEDULER:
            self._answer_unavailable(event.request_id, board)
            return
        board.requests.queries[event.request_id] = PendingQuery(
            "job", event.job_id, event.host, event.path
        )
        if event.cancel:
            self._send(CancelJob(event.job_id, wants_answer=True), board)
        else:
            self._send(QueryJob(event.job_id), board)

    def _query_queue(self, event: QueueRequested, board: InstanceBoard) -> None:
        route = self._route(event.request_id, event.host, event.path, board)
        if route is None:
            return
        if self._scheduler_stream == NO_SCHEDULER:
            self._answer_unavailable(event.request_id, board)
            return
        board.requests.queries[event.request_id] = PendingQuery(
            "queue", route.name, event.host, event.path
        )
        self._send(QueryQueue(route.name), board)

    def _answer_unavailable(self, request_id: int, board: InstanceBoard) -> None:
        retry_after_s = board.tuning.shortest_retry_after_s
        answer = CallerAnswer(AnswerKind.UNAVAILABLE, "no scheduler", retry_after_s)
        self._answer(request_id, answer, board)

    def _disconnect_caller(self, event: CallerGone, board: InstanceBoard) -> None:
        requests = board.requests
        requests.queries.pop(event.request_id, None)
        job_id = requests.job_id_of_request.pop(event.request_id, None)
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
        if job.sent_to_scheduler:
            self._send(CancelJob(job_id, False, may_return=event.reset), board)

    # Answers to callers

    def _answer(
        self, request_id: int, answer: CallerAnswer, board: InstanceBoard
    ) -> None:
        board.count(f"answers_{answer.kind.value}")
        board.emit(AnswerCaller(request_id, answer))

    def _receive_answer(self, message: Message, board: InstanceBoard) -> None:
        if isinstance(message, JobAnswer):
            job = board.requests.jobs.get(message.job_id)
            if job is not None:
                kind = _KIND_OF_OUTCOME.get(message.outcome, AnswerKind.MAY_HAVE_RUN)
                answer = CallerAnswer(kind, message.reason, message.retry_after_s)
                self._complete_job(job, answer, board)
        elif isinstance(message, JobState):
            self._answer_job_queries(message, board)
        elif isinstance(message, QueueState):
            answer = CallerAnswer(AnswerKind.PENDING, pending=message.pending)
            for request_id, _ in board.requests.take_queries("queue", message.route):
                self._answer(request_id, answer, board)

    def _answer_job_queries(self, message: JobState, board: InstanceBoard) -> None:
        queries = board.requests.take_queries("job", message.job_id)
        for request_id, query in queries:
            is_known = bool(message.state)
            if is_known or self._route(request_id, query.host, query.path, board):
                self._answer(request_id, job_state_answer(message.state), board)

    def _complete_job(
        self, job: OpenJob, answer: CallerAnswer, board: InstanceBoard
    ) -> None:
        job_id = job.job.job_id
        del board.requests.jobs[job_id]
        duration_ms = board.now - job.arrived_at
        board.measure(f"request_{answer.kind.value}", duration_ms)
        failed = answer.kind is not AnswerKind.COMPLETED
        board.log_request(
            "request_answered",
            failed=failed or duration_ms > job.objective_ms,
            job=job_id,
            route=job.route.name,
            version=board.configuration.current.version,
            answer=answer.kind.value,
            reason=answer.detail,
            duration_ms=duration_ms,
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
            requested_job_id = board.requests.job_id_of_request.pop(request_id, "")
            board.auditor.check(
                InstanceInvariant.ANSWER_REACHES_ITS_CALLER,
                requested_job_id == job_id,
                f"request {request_id} asked for {requested_job_id!r}, not {job_id}",
            )
            self._answer(request_id, answer, board)

    # The scheduler

    def _switch_scheduler(self, event: SchedulerChanged, board: InstanceBoard) -> None:
        self._scheduler_stream = event.stream_id
        self._scheduler_acting = event.acting
        schedulers_overlapped = event.since < self._scheduler_lost_at
        for job in list(board.requests.jobs.values()):
            if job.sent and event.acting:
                # The previous scheduler may be unreachable and still run this job.
                self._complete_job(job, may_have_run_answer("scheduler lost"), board)
                continue
            if schedulers_overlapped and job.predecessor_revision:
                # The lost scheduler was active at the same time as this one.
                job.predecessor_runs_end_at = (
                    self._scheduler_lost_at + _predecessor_runs_ms(board)
                )
        resubmission.enqueue(board.requests.jobs.values(), board.requests)
        self._submit_next_batch(board)

    def _submit_next_batch(self, board: InstanceBoard) -> None:
        for job in resubmission.next_batch(board.requests):
            self._submit(job, board)

    def _lose_scheduler(self, event: SchedulerLost, board: InstanceBoard) -> None:
        if self._scheduler_stream == NO_SCHEDULER:
            return
        self._scheduler_stream = NO_SCHEDULER
        self._scheduler_lost_at = board.now
        board.requests.awaiting_resubmission.clear()
        for job in board.requests.jobs.values():
            if job.sent_to_scheduler:
                job.predecessor_revision = (
                    0 if self._scheduler_acting else event.revision
                )
                if self._scheduler_acting:
                    job.predecessor_runs_end_at = board.now + _predecessor_runs_ms(
                        board
                    )
            job.sent_to_scheduler = False
        for request_id in list(board.requests.queries):
            del board.requests.queries[request_id]
            self._answer_unavailable(request_id, board)
        if board.requests.jobs:
            self._start_expiry_timer(board)

    def _start_expiry_timer(self, board: InstanceBoard) -> None:
        if not self._expiry_timer_running:
            self._expiry_timer_running = True
            board.set_timer(EXPIRY_TIMER, EXPIRY_CHECK_PERIOD_MS)

    def _expire_waiting_jobs(self, board: InstanceBoard) -> None:
        """Answer jobs that have waited too long while there is no scheduler.

        A job that was sent to a scheduler may have run, so it is kept until the
        caller's deadline. Other jobs are refused as soon as the takeover is overdue
        or their guaranteed wait is over.
        """
        self._expiry_timer_running = False
        if self._scheduler_stream != NO_SCHEDULER:
            return
        tuning = board.tuning
        takeover_overdue = board.now - self._scheduler_lost_at > tuning.silence_ms
        for job in list(board.requests.jobs.values()):
            waited_ms = board.now - job.arrived_at
            if job.sent:
                if board.now >= job.deadline_at:
                    self._complete_job(job, may_have_run_answer("no scheduler"), board)
            elif takeover_overdue or waited_ms >= _max_scheduler_wait_ms(job, board):
                answer = no_scheduler_answer(
                    job.is_caller_retry, tuning.shortest_retry_after_s
                )
                self._complete_job(job, answer, board)
        if board.requests.jobs:
            self._start_expiry_timer(board)


def _max_scheduler_wait_ms(job: OpenJob, board: InstanceBoard) -> float:
    """Return how long a job may wait for a scheduler before it is refused."""
    return board.tuning.guaranteed_wait_ms(job.route, job.job.critical_path_ms())


def _predecessor_runs_ms(board: InstanceBoard) -> Milliseconds:
    """Return for how long runs of a lost scheduler may stay alive.

    The sum of the longest lease, the expiry margin, the heartbeat timeout and the time
    for which it keeps the jobs of a silent instance.
    """
    tuning = board.tuning
    lease_ms = board.settings.longest_lease_ms + tuning.lapse_margin_ms
    return lease_ms + tuning.silence_ms + tuning.silent_grace_ms
