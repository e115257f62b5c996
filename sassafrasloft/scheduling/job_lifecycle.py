"""Life of a job at the scheduler, from its submission to the answer."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import SendMessage
from sassafrasloft.instance.events import (
    OWN_INSTANCE,
    MessageForGateway,
    RunStopRequested,
)
from sassafrasloft.instance.message_codec import Message
from sassafrasloft.instance.messages import (
    CancelJob,
    EndedJob,
    Handover,
    JobAnswer,
    JobState,
    NotScheduling,
    QueryJob,
    QueryQueue,
    QueueState,
    SubmitJob,
)
from sassafrasloft.instance.tracing import child_span
from sassafrasloft.invariants import InstanceInvariant
from sassafrasloft.runs import RunState
from sassafrasloft.scheduling import handovers
from sassafrasloft.scheduling.admission import Admission, Refusal
from sassafrasloft.scheduling.inherited_jobs import InheritedJob
from sassafrasloft.scheduling.jobs import (
    JobOutcome,
    ScheduledJob,
    ScheduledTask,
    TaskState,
)
from sassafrasloft.scheduling.lateness import CallerRetryDetector, is_late
from sassafrasloft.scheduling.outcomes import record_outcome
from sassafrasloft.scheduling.predecessor_runs import (
    may_have_run_before,
    startable_work,
)
from sassafrasloft.scheduling.unattended_jobs import UnattendedJobs
from sassafrasloft.traces.traceparent import TraceParent
from sassafrasloft.workload import Route

REFUSAL_TIMER = "scheduling.wait"
PRUNE_TIMER = "scheduling.prune"
PRUNE_PERIOD_MS = 1_000
"""Period of the removal of expired answers."""


class JobLifecycle:
    """Creates, adopts, cancels, refuses and ends jobs, and answers their subscribers.

    Parameters
    ----------
    admission : Admission
        Decides which jobs are refused on arrival.
    """

    def __init__(self, admission: Admission) -> None:
        self._admission = admission
        self._retry_detector = CallerRetryDetector()
        self.unattended = UnattendedJobs(self.end)
        """Jobs whose callers or instances are gone."""

    def handle_message(
        self, stream_id: int, message: Message, board: InstanceBoard
    ) -> None:
        """Handle a message that an instance sent to its scheduler."""
        if isinstance(message, Handover):
            self._handle_handover(message, board)
            return
        if not board.pool.active:
            revision = board.leadership.known_revision
            reply = NotScheduling(board.settings.name, revision)
            self._send(stream_id, reply, board)
        elif isinstance(message, SubmitJob):
            self._handle_submit(stream_id, message, board)
        elif isinstance(message, CancelJob):
            self._handle_cancel(stream_id, message, board)
        elif isinstance(message, QueryJob):
            state = self._state_of(message.job_id, board)
            self._send(stream_id, JobState(message.job_id, state), board)
        elif isinstance(message, QueryQueue):
            pending = sum(
                not job.start_sent and job.route.name == message.route
                for job in board.jobs.open.values()
            )
            self._send(stream_id, QueueState(message.route, pending), board)

    def _handle_handover(self, message: Handover, board: InstanceBoard) -> None:
        """Apply what another scheduler reports of its jobs.

        Some of these jobs may have been submitted here already.
        """
        for ended in message.ended_jobs:
            self._record_ended_job(ended, board)
        reported = handovers.record_handover(message, board)
        handovers.release_deferred_tasks(message, board)
        for job, inherited in reported:
            if job.job_id in board.jobs.open:
                self._apply_inherited(job, inherited, board)
        board.jobs.changed = True

    def _record_ended_job(self, ended: EndedJob, board: InstanceBoard) -> None:
        """Record the outcome of a job that another scheduler reports as ended.

        If its answer was lost, the job has been submitted here or will be.
        """
        job = board.jobs.open.get(ended.job_id)
        if ended.outcome == JobOutcome.CANCELLED:
            board.jobs.cancelled.add(ended.job_id, board.now)
            if job is not None:
                self.end(job, JobOutcome.CANCELLED, "cancelled before", board)
            return
        if ended.outcome not in handovers.FINAL_OUTCOMES:
            return
        outcome = JobOutcome(ended.outcome)
        board.count("ended_jobs_inherited")
        if job is None:
            board.jobs.answers.setdefault(ended.job_id, (outcome, board.now))
            return
        if outcome is JobOutcome.COMPLETED:
            for task in job.tasks.values():
                self._finish_reported_task(job, task, board)
        self.end(job, outcome, "ended at another scheduler", board)

    @staticmethod
    def _finish_reported_task(
        job: ScheduledJob, task: ScheduledTask, board: InstanceBoard
    ) -> None:
        if task.state is TaskState.DONE:
            return
        if task.run is not None:
            board.post(RunStopRequested(task.run))
        job.finish_task(task)

    def _send(self, stream_id: int, message: Message, board: InstanceBoard) -> None:
        if stream_id == OWN_INSTANCE:
            board.post(MessageForGateway(message))
        else:
            board.emit(SendMessage(stream_id, message))

    def _state_of(self, job_id: str, board: InstanceBoard) -> str:
        job = board.jobs.open.get(job_id)
        if job is not None:
            return "running" if job.start_sent else "queued"
        known = board.jobs.answers.get(job_id)
        return known[0].value if known else ""

    def _handle_submit(
        self, stream_id: int, message: SubmitJob, board: InstanceBoard
    ) -> None:
        job_id = message.job.job_id
        known = board.jobs.open.get(job_id)
        if known is not None:
            known.subscribers.add(stream_id)
            known.abandoned_at = -1
            known.record_decision(board.now, "handed_in_again")
            return
        kept = board.jobs.answers.get(job_id)
        if kept is not None and kept[0] in handovers.FINAL_OUTCOMES:
            self._send(stream_id, JobAnswer(job_id, kept[0].value, "kept"), board)
            return
        if job_id in board.jobs.cancelled:
            board.count("cancelled_jobs_rejected")
            answer = JobAnswer(job_id, JobOutcome.CANCELLED.value, "cancelled before")
            self._send(stream_id, answer, board)
            return
        route = _route_of(message, board)
        if route is None:
            self._reject_without_route(stream_id, message, board)
            return
        self._admit(stream_id, message, route, board)

    def _reject_without_route(
        self, stream_id: int, message: SubmitJob, board: InstanceBoard
    ) -> None:
        """Reject a job; callers take "no such route" as "not run"."""
        job_id = message.job.job_id
        board.count("jobs_without_route")
        board.log_request(
            "job_without_route",
            failed=True,
            job=job_id,
            route=message.route,
            version=board.configuration.current.version,
            accepted_version=message.configuration_version,
            resubmitted=message.resubmitted,
        )
        if message.resubmitted:
            outcome, reason = JobOutcome.MAY_HAVE_RUN, "its route was removed"
        else:
            outcome, reason = JobOutcome.NO_SUCH_ROUTE, message.route
        self._send(stream_id, JobAnswer(job_id, outcome.value, reason), board)

    def _admit(
        self, stream_id: int, message: SubmitJob, route: object, board: InstanceBoard
    ) -> None:
        job = self._create_job(message, route, board)
        job.subscribers.add(stream_id)
        board.jobs.open[job.job_id] = job
        board.jobs.changed = True
        board.count("jobs_taken")
        self._continue_job(job, message.predecessor_runs_ms, board)
        work = startable_work(job, board)
        service = job.route.service
        if not job.is_caller_retry:
            board.jobs.new_job_rate.record(service, work, board.now)
        refusal = None
        if not job.start_sent and not job.resubmitted:
            refusal = self._admission.on_arrival(job, board)
        if refusal is not None:
            self.refuse(job, refusal, board)
        else:
            late = is_late(job, board.now)
            board.jobs.backlog.add(service, late, job.priority, work)

    def _create_job(
        self, message: SubmitJob, route: object, board: InstanceBoard
    ) -> ScheduledJob:
        critical_path_ms = board.estimates.expected_ms(
            route.name, message.job.critical_path_ms()
        )
        job = ScheduledJob(
            message.job,
            route,
            board.now - message.age_ms,
            board.now + message.remaining_ms,
            route.objective_ms(critical_path_ms),
            critical_path_ms,
            board.now,
            resubmitted=message.resubmitted,
            is_caller_retry=self._retry_detector.record_request(
                route, message.age_ms + message.remaining_ms
            ),
            predecessor_revision=message.predecessor_revision,
        )
        job.may_have_run_before = may_have_run_before(job, board)
        if message.trace_id:
            job.gateway_span = TraceParent(message.trace_id, message.span_id)
            job.span = child_span(job.gateway_span, board)
        job.create_tasks()
        job.record_decision(
            board.now,
            "admitted",
            f"route={route.name} version={board.configuration.current.version} "
            f"age_ms={message.age_ms} tasks={len(job.tasks)} "
            f"objective_ms={job.objective_ms:.0f} resubmitted={message.resubmitted} "
            f"remaining_ms={message.remaining_ms} repeated={job.is_caller_retry}",
        )
        return job

    def _continue_job(
        self, job: ScheduledJob, predecessor_runs_ms: Milliseconds, board: InstanceBoard
    ) -> None:
        """Continue a job from what its predecessor schedulers have done.

        Without a report of the predecessor all tasks are deferred until its runs must
        have ended.
        """
        inherited = board.jobs.inherited.pop(job.job_id, None)
        if predecessor_runs_ms and not _is_reported(job, inherited, board):
            for task in job.tasks.values():
                job.defer(task, {"": board.now + predecessor_runs_ms})
        if inherited is not None:
            self._apply_inherited(job, inherited, board)
            if job.job_id not in board.jobs.open:
                return
        for task in list(job.waiting):
            self.adopt_if_running(job, task, board)

    def _apply_inherited(
        self, job: ScheduledJob, inherited: InheritedJob, board: InstanceBoard
    ) -> None:
        job.predecessor_runs_known |= inherited.complete
        for name, runs in inherited.possible_runs.items():
            task = job.tasks.get(name)
            if task is not None:
                job.defer(task, runs)
        for name in inherited.done:
            task = job.tasks.get(name)
            if task is not None and task.state is TaskState.WAITING:
                job.start_sent = True
                job.may_have_started = True
                if job.finish_task(task):
                    self.end(job, JobOutcome.COMPLETED, "inherited", board)
                    return

    def record_earlier_end(self, task: str, board: InstanceBoard) -> None:
        """Record that a run of an earlier scheduler has completed a task."""
        board.count("earlier_runs_done")
        ended = InheritedJob(done=(task,))
        job_id = task.partition(".")[0]
        job = board.jobs.open.get(job_id)
        if job is not None:
            self._apply_inherited(job, ended, board)
        elif job_id not in board.jobs.answers:
            handovers.record_inherited(job_id, ended, board)

    def adopt_if_running(
        self, job: ScheduledJob, task: ScheduledTask, board: InstanceBoard
    ) -> None:
        """Adopt an orphaned run of a task unless it is being stopped."""
        orphan = board.pool.orphans.get(task.name)
        if orphan is not None and orphan.state is not RunState.STOPPING:
            self._adopt(job, task, board)

    def _adopt(
        self, job: ScheduledJob, task: ScheduledTask, board: InstanceBoard
    ) -> None:
        step = job.request.steps[task.step]
        expected = board.estimates.expected_ms(job.route.name, step.estimate_ms)
        run = board.pool.adopt(task.name, step.demand, expected)
        task.run = run
        task.starts = max(task.starts, run.number)
        task.state = TaskState.PLACED
        job.dequeue(task)
        job.start_sent = True
        job.may_have_started = True
        board.count("runs_adopted")
        job.record_decision(board.now, "adopted", f"{task.name} on {run.runner_id}")

    def _handle_cancel(
        self, stream_id: int, message: CancelJob, board: InstanceBoard
    ) -> None:
        job = board.jobs.open.get(message.job_id)
        state = self._state_of(message.job_id, board)
        if job is not None and message.may_return and job.subscribers == {stream_id}:
            self.unattended.mark_abandoned(job, board)
        elif job is not None:
            if not message.wants_answer:
                job.subscribers.discard(stream_id)
            if message.wants_answer or not job.subscribers:
                self.end(job, JobOutcome.CANCELLED, "cancelled", board)
                state = JobOutcome.CANCELLED.value
        if message.wants_answer:
            board.jobs.cancelled.add(message.job_id, board.now)
            self._send(stream_id, JobState(message.job_id, state), board)

    def refuse(self, job: ScheduledJob, refusal: Refusal, board: InstanceBoard) -> None:
        """End a job as refused or, if it may have run, as `MAY_HAVE_RUN`."""
        if job.resubmitted or job.may_have_started or job.may_have_run_before:
            outcome = JobOutcome.MAY_HAVE_RUN
        else:
            outcome = JobOutcome.REFUSED
            never_ran = not job.may_have_started and all(
                task.run is None for task in job.tasks.values()
            )
            board.auditor.check(
                InstanceInvariant.NOT_RUN_IS_TRUE,
                never_ran,
                f"job {job.job_id} is refused as not run after it started",
            )
        self.end(job, outcome, refusal.reason, board, refusal.retry_after_s)

    def end(
        self,
        job: ScheduledJob,
        outcome: JobOutcome,
        reason: str,
        board: InstanceBoard,
        retry_after_s: int = 0,
    ) -> None:
        """End a job: stop its runs, answer its subscribers and record the outcome."""
        board.auditor.check(
            InstanceInvariant.ANSWERS_ARE_WHOLE,
            outcome is not JobOutcome.COMPLETED
            or all(task.state is TaskState.DONE for task in job.tasks.values()),
            f"job {job.job_id} is answered as completed before all tasks are done",
        )
        del board.jobs.open[job.job_id]
        board.jobs.answers[job.job_id] = (outcome, board.now)
        board.jobs.changed = True
        for task in job.tasks.values():
            if task.run is not None:
                board.post(RunStopRequested(task.run))
        job.record_decision(board.now, outcome.value, reason)
        answer = JobAnswer(job.job_id, outcome.value, reason, retry_after_s)
        for stream_id in sorted(job.subscribers):
            self._send(stream_id, answer, board)
        record_outcome(job, outcome, reason, board)

    def prune_answers(self, board: InstanceBoard) -> None:
        """Remove answers and inherited progress older than the retention period."""
        if not board.pool.active:
            return
        board.set_timer(PRUNE_TIMER, PRUNE_PERIOD_MS)
        board.jobs.cancelled.prune(board.now)
        oldest = board.now - board.tuning.answer_retention_ms
        for job_id, (_, at) in list(board.jobs.answers.items()):
            if at > oldest:
                break
            del board.jobs.answers[job_id]
        if board.jobs.inherited_at <= oldest:
            board.jobs.inherited.clear()


def _is_reported(
    job: ScheduledJob, inherited: InheritedJob | None, board: InstanceBoard
) -> bool:
    """Return whether the last scheduler of a job has reported all runs of the job."""
    if job.predecessor_revision in board.jobs.reported_revisions:
        return True
    if inherited is None:
        return False
    was_acting = job.predecessor_revision == 0
    return inherited.from_acting if was_acting else inherited.complete


def _route_of(message: SubmitJob, board: InstanceBoard) -> Route | None:
    """Return the route of a job by the newer of the configurations that know it.

    The instance that submits the job may have got a newer one than the scheduler. If
    another scheduler may have started the job, it keeps its route after the removal.
    """
    configuration = board.configuration
    if message.configuration_version > configuration.current.version:
        return message.accepted_route
    route = configuration.route_named(message.route)
    if route is None and message.resubmitted:
        return message.accepted_route
    return route
