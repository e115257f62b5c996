"""Takes jobs, keeps them while they are open, and answers."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import SendMessage
from sassafrasloft.instance.events import (
    OWN_INSTANCE,
    FollowerLost,
    GatewayMessage,
    StopTask,
)
from sassafrasloft.instance.messages import (
    CancelJob,
    Handover,
    JobAnswer,
    JobProgress,
    JobState,
    Message,
    NotScheduling,
    QueryJob,
    QueryQueue,
    QueueState,
    SubmitJob,
)
from sassafrasloft.instance.tracing import child_span
from sassafrasloft.invariants import InstanceInvariant
from sassafrasloft.runs import RunState
from sassafrasloft.scheduling.admission import Admission, Refusal
from sassafrasloft.scheduling.earlier_runs import waiting_work
from sassafrasloft.scheduling.jobs import (
    JobOutcome,
    ScheduledJob,
    ScheduledTask,
    TaskState,
)
from sassafrasloft.scheduling.lateness import CallerPatience, is_late
from sassafrasloft.scheduling.outcomes import record_outcome
from sassafrasloft.traces.traceparent import TraceParent

WAIT_TIMER = "scheduling.wait"
PRUNE_TIMER = "scheduling.prune"
UNFOLLOWED_TIMER = "scheduling.unfollowed"
ABANDONED_TIMER = "scheduling.abandoned"
CHECK_MS = 50
"""Period of the check for jobs that nobody waits for, in milliseconds."""
PRUNE_MS = 1_000
"""Period of forgetting old answers, in milliseconds."""


class JobKeeper:
    """Jobs from submission to answer.

    Parameters
    ----------
    admission : Admission
        Which jobs are refused on arrival.
    """

    def __init__(self, admission: Admission) -> None:
        self._admission = admission
        self._patience = CallerPatience()

    def take_message(
        self, stream_id: int, message: Message, board: InstanceBoard
    ) -> None:
        """Handle what an instance asks of its scheduler."""
        if isinstance(message, Handover):
            self._take_handover(message, board)
            return
        if not board.pool.active:
            revision = board.rights.known_revision
            reply = NotScheduling(board.settings.name, revision)
            self._send(stream_id, reply, board)
        elif isinstance(message, SubmitJob):
            self._submit(stream_id, message, board)
        elif isinstance(message, CancelJob):
            self._cancel(stream_id, message, board)
        elif isinstance(message, QueryJob):
            state = self._state_of(message.job_id, board)
            self._send(stream_id, JobState(message.job_id, state), board)
        elif isinstance(message, QueryQueue):
            pending = sum(
                not job.offered and job.route.name == message.route
                for job in board.jobs.open.values()
            )
            self._send(stream_id, QueueState(message.route, pending), board)

    def _take_handover(self, message: Handover, board: InstanceBoard) -> None:
        """Take what another scheduler knew; its jobs may be here already."""
        # That of an earlier holder does not tell of the runs of the last one.
        replaced = board.rights.replaced_revision
        if not message.acting and 0 < replaced == message.revision:
            board.jobs.predecessor_known = True
        if not message.acting and message.revision > 0:
            self._settle_jobs_of(message.revision, board)
        for progress in message.jobs:
            job = board.jobs.open.get(progress.job_id)
            if job is None:
                board.jobs.inherited[progress.job_id] = progress
                board.jobs.inherited_at = board.now
            else:
                self._take_progress(job, progress, board)
        board.jobs.changed = True

    def _settle_jobs_of(self, revision: int, board: InstanceBoard) -> None:
        """Let jobs start that waited for what the holder of a right reports."""
        board.jobs.handed_over.add(revision)
        for job in board.jobs.open.values():
            if job.former_revision == revision:
                for task in job.waiting:
                    task.not_before = 0

    def _send(self, stream_id: int, message: Message, board: InstanceBoard) -> None:
        if stream_id == OWN_INSTANCE:
            board.post(GatewayMessage(message))
        else:
            board.emit(SendMessage(stream_id, message))

    def _state_of(self, job_id: str, board: InstanceBoard) -> str:
        job = board.jobs.open.get(job_id)
        if job is not None:
            return "running" if job.offered else "queued"
        known = board.jobs.answers.get(job_id)
        return known[0].value if known else ""

    def _submit(self, stream_id: int, message: SubmitJob, board: InstanceBoard) -> None:
        job_id = message.job.job_id
        known = board.jobs.open.get(job_id)
        if known is not None:
            known.followers.add(stream_id)
            known.abandoned_at = -1
            known.note(board.now, "handed_in_again")
            return
        kept = board.jobs.answers.get(job_id)
        if kept is not None and kept[0] in (JobOutcome.COMPLETED, JobOutcome.FAILED):
            self._send(stream_id, JobAnswer(job_id, kept[0].value, "kept"), board)
            return
        route = board.configuration.route_named(message.route)
        if route is None:
            answer = JobAnswer(job_id, JobOutcome.NO_SUCH_ROUTE.value, message.route)
            self._send(stream_id, answer, board)
            return
        self._admit(stream_id, message, route, board)

    def _admit(
        self, stream_id: int, message: SubmitJob, route: object, board: InstanceBoard
    ) -> None:
        job = self._create_job(message, route, board)
        job.followers.add(stream_id)
        board.jobs.open[job.job_id] = job
        board.jobs.changed = True
        board.count("jobs_taken")
        settled = message.former_revision in board.jobs.handed_over
        self._inherit(job, 0 if settled else message.settle_ms, board)
        work = waiting_work(job, board)
        service = job.route.service
        if not job.repeated:
            board.jobs.new_work.note(service, work, board.now)
        refusal = None
        if not job.offered and not job.resubmitted:
            refusal = self._admission.on_arrival(job, board)
        if refusal is not None:
            self.refuse(job, refusal, board)
        else:
            late = is_late(job, board.now)
            board.jobs.backlog.add(service, late, job.priority, work)

    def _create_job(
        self, message: SubmitJob, route: object, board: InstanceBoard
    ) -> ScheduledJob:
        chain = board.estimates.expect(route.name, message.job.chain_ms())
        job = ScheduledJob(
            message.job,
            route,
            board.now - message.age_ms,
            board.now + message.remaining_ms,
            route.objective_ms(chain),
            chain,
            board.now,
            resubmitted=message.resubmitted,
            repeated=self._patience.note(route, message.age_ms + message.remaining_ms),
            former_revision=message.former_revision,
        )
        if message.trace_id:
            job.gateway_span = TraceParent(message.trace_id, message.span_id)
            job.span = child_span(job.gateway_span, board)
        job.create_tasks()
        job.note(
            board.now,
            "admitted",
            f"route={route.name} version={board.configuration.current.version} "
            f"age_ms={message.age_ms} tasks={len(job.tasks)} "
            f"objective_ms={job.objective_ms:.0f} resubmitted={message.resubmitted} "
            f"remaining_ms={message.remaining_ms} repeated={job.repeated}",
        )
        return job

    def _inherit(
        self, job: ScheduledJob, settle_ms: Milliseconds, board: InstanceBoard
    ) -> None:
        """Go on from what an earlier scheduler did for the job."""
        progress = board.jobs.inherited.pop(job.job_id, None)
        if progress is None:
            if settle_ms:
                for task in job.tasks.values():
                    job.hold_back(task, board.now + settle_ms)
        else:
            self._take_progress(job, progress, board)
            if job.job_id not in board.jobs.open:
                return
        for task in list(job.waiting):
            self.adopt_if_running(job, task, board)

    def _take_progress(
        self, job: ScheduledJob, progress: JobProgress, board: InstanceBoard
    ) -> None:
        settle = board.settings.longest_lease_ms + board.tuning.lapse_margin_ms
        for name in progress.running:
            if name in job.tasks:
                job.hold_back(job.tasks[name], board.now + settle)
        for name in progress.done:
            task = job.tasks.get(name)
            if task is not None and task.state is TaskState.WAITING:
                job.offered = True
                job.started = True
                if job.finish_task(task):
                    self.end(job, JobOutcome.COMPLETED, "inherited", board)
                    return

    def adopt_if_running(
        self, job: ScheduledJob, task: ScheduledTask, board: InstanceBoard
    ) -> None:
        """Take over a run of an earlier scheduler unless it is being stopped."""
        orphan = board.pool.orphans.get(task.name)
        if orphan is not None and orphan.state is not RunState.STOPPING:
            self._adopt(job, task, board)

    def _adopt(
        self, job: ScheduledJob, task: ScheduledTask, board: InstanceBoard
    ) -> None:
        step = job.request.steps[task.step]
        expected = board.estimates.expect(job.route.name, step.estimate_ms)
        run = board.pool.adopt(task.name, step.demand, expected)
        task.run = run
        task.starts = max(task.starts, run.number)
        task.state = TaskState.PLACED
        job.end_wait(task)
        job.offered = True
        job.started = True
        board.count("runs_adopted")
        job.note(board.now, "adopted", f"{task.name} on {run.runner_id}")

    def _cancel(self, stream_id: int, message: CancelJob, board: InstanceBoard) -> None:
        job = board.jobs.open.get(message.job_id)
        state = self._state_of(message.job_id, board)
        if job is not None and message.may_return and job.followers == {stream_id}:
            self._abandon(job, board)
        elif job is not None:
            if not message.wants_answer:
                job.followers.discard(stream_id)
            if message.wants_answer or not job.followers:
                self.end(job, JobOutcome.CANCELLED, "cancelled", board)
                state = JobOutcome.CANCELLED.value
        if message.wants_answer:
            self._send(stream_id, JobState(message.job_id, state), board)

    def _abandon(self, job: ScheduledJob, board: InstanceBoard) -> None:
        """Keep a job for a while, whose caller sends it again."""
        checking = any(one.abandoned_at >= 0 for one in board.jobs.open.values())
        if job.abandoned_at < 0:
            job.abandoned_at = board.now
            job.note(board.now, "abandoned")
        if not checking:
            board.set_timer(ABANDONED_TIMER, CHECK_MS)

    def end_abandoned(self, board: InstanceBoard) -> None:
        """Stop jobs before their callers may hand them in at another scheduler."""
        latest = board.now - board.tuning.return_ms
        waiting = [one for one in board.jobs.open.values() if one.abandoned_at >= 0]
        for job in waiting:
            if job.abandoned_at <= latest:
                self.end(job, JobOutcome.CANCELLED, "its caller is gone", board)
        if waiting:
            board.set_timer(ABANDONED_TIMER, CHECK_MS)

    def drop_follower(self, event: FollowerLost, board: InstanceBoard) -> None:
        """Stop jobs of an instance that may have handed them to another scheduler.

        A stream that was reset may be opened again at once; its end does not show
        that the instance's process is gone.
        """
        for job in list(board.jobs.open.values()):
            if event.stream_id not in job.followers:
                continue
            job.followers.discard(event.stream_id)
            if job.followers:
                continue
            if event.silent:
                self.end(job, JobOutcome.CANCELLED, "its instance is silent", board)
            else:
                job.unfollowed_since = board.now
                board.set_timer(UNFOLLOWED_TIMER, board.tuning.silence_ms)

    def end_unfollowed(self, board: InstanceBoard) -> None:
        """Stop jobs that no instance has handed in again after its stream ended."""
        latest = board.now - board.tuning.silence_ms
        waiting = False
        for job in list(board.jobs.open.values()):
            if job.followers or job.unfollowed_since < 0:
                continue
            if job.unfollowed_since <= latest:
                self.end(job, JobOutcome.CANCELLED, "its instance is gone", board)
            else:
                waiting = True
        if waiting:
            board.set_timer(UNFOLLOWED_TIMER, CHECK_MS)

    def refuse(self, job: ScheduledJob, refusal: Refusal, board: InstanceBoard) -> None:
        """End a job that has not run with a refusal; one that may have, without."""
        if job.resubmitted or job.started:
            outcome = JobOutcome.MAY_HAVE_RUN
        else:
            outcome = JobOutcome.REFUSED
            never_ran = not job.started and all(
                task.run is None for task in job.tasks.values()
            )
            board.auditor.check(
                InstanceInvariant.NOT_RUN_IS_TRUE,
                never_ran,
                f"job {job.job_id} has begun",
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
        """End a job: stop its runs and tell all that wait for the answer."""
        board.auditor.check(
            InstanceInvariant.ANSWERS_ARE_WHOLE,
            outcome is not JobOutcome.COMPLETED
            or all(task.state is TaskState.DONE for task in job.tasks.values()),
            f"job {job.job_id} is said to be complete",
        )
        del board.jobs.open[job.job_id]
        board.jobs.answers[job.job_id] = (outcome, board.now)
        board.jobs.changed = True
        for task in job.tasks.values():
            if task.run is not None:
                board.post(StopTask(task.run))
        job.note(board.now, outcome.value, reason)
        answer = JobAnswer(job.job_id, outcome.value, reason, retry_after_s)
        for stream_id in sorted(job.followers):
            self._send(stream_id, answer, board)
        record_outcome(job, outcome, reason, board)

    def prune(self, board: InstanceBoard) -> None:
        """Forget answers that no caller asks for any more."""
        if not board.pool.active:
            return
        board.set_timer(PRUNE_TIMER, PRUNE_MS)
        oldest = board.now - board.tuning.answer_retention_ms
        for job_id, (_, at) in list(board.jobs.answers.items()):
            if at > oldest:
                break
            del board.jobs.answers[job_id]
        if board.jobs.inherited_at <= oldest:
            board.jobs.inherited.clear()
