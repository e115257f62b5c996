"""Jobs and tasks in the state of the scheduler."""

from enum import StrEnum

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs import Run, StartRule
from sassafrasloft.scheduling.backlog import Backlog
from sassafrasloft.scheduling.cancelled_jobs import CancelledJobs
from sassafrasloft.scheduling.inherited_jobs import InheritedJob, later_ends
from sassafrasloft.scheduling.return_times import ReturnTimes
from sassafrasloft.scheduling.work_rate import WorkRate
from sassafrasloft.traces.traceparent import TraceParent
from sassafrasloft.workload import JobRequest, Route, task_name


class JobOutcome(StrEnum):
    """Final outcome of a job."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    """No task of the job has started or will start."""
    MAY_HAVE_RUN = "may_have_run"
    """The job did not complete, and some of its tasks may have run."""
    NO_SUCH_ROUTE = "no_such_route"


class TaskState(StrEnum):
    """Progress of a task."""

    BLOCKED = "blocked"
    """Some of its predecessors are not done."""
    WAITING = "waiting"
    """It can start once a runner has capacity."""
    PLACED = "placed"
    """It has a run on a runner."""
    DONE = "done"


@attrs.define(eq=False)
class ScheduledTask:
    """A task of an open job."""

    name: str
    step: int
    state: TaskState = TaskState.BLOCKED
    run: Run | None = None
    starts: int = 0
    """The highest run number used so far."""
    failures: int = 0
    failed_on: set[str] = attrs.field(factory=set)
    """Runners on which it failed, or from which an overdue run was moved."""
    start_rule: StartRule = StartRule.ANYWHERE
    """Where it may start, as of the last scheduling pass."""
    not_before: Milliseconds = 0
    """Earliest start: until then a run may exist on a runner that is not known."""
    rack_wait_began_at: Milliseconds = -1
    """Since when it waits for a place in the rack of its data; -1 if it does not."""
    possible_runs: dict[str, Milliseconds] = attrs.field(factory=dict)
    """By runner, when a run that another scheduler reported has ended at the latest."""

    def deferral(self) -> dict[str, Milliseconds]:
        """Return all possible runs by runner; those on no known one under no id."""
        if not self.not_before:
            return self.possible_runs
        return {**self.possible_runs, "": self.not_before}


@attrs.define(eq=False)
class ScheduledJob:
    """An open job: admitted and not yet ended.

    Parameters
    ----------
    arrived_at : int
        When the caller's request arrived at its instance, on the local clock.
    deadline_at : int
        When the caller stops waiting.
    objective_ms : float
        Latency objective: the job is on time if it ends this long after its arrival.
    work_ms : float
        The estimated duration of its longest chain of dependent tasks.
    """

    request: JobRequest
    route: Route
    arrived_at: Milliseconds
    deadline_at: Milliseconds
    objective_ms: float
    critical_path_ms: float
    accepted_at: Milliseconds
    subscribers: set[int] = attrs.field(factory=set)
    """Streams of the instances whose callers wait for the answer."""
    tasks: dict[str, ScheduledTask] = attrs.field(factory=dict)
    unfinished: list[int] = attrs.field(factory=list)
    """Number of tasks that are not done, by step."""
    waiting: list[ScheduledTask] = attrs.field(factory=list)
    """Waiting tasks; changed by `enqueue` and `dequeue` only."""
    waiting_work: float = 0.0
    """Declared work of the waiting tasks, in millicore-milliseconds."""
    has_deferred_tasks: bool = False
    """Whether one of its tasks was deferred since an unknown run may exist."""
    has_start_rules: bool = False
    """Whether the starts of its tasks are restricted after losses of runners."""
    has_waited_for_rack: bool = False
    """Whether one of its tasks has waited for the rack of its data."""
    start_sent: bool = False
    """Whether the start of one of its tasks was sent to a runner."""
    may_have_started: bool = False
    """Whether a runner has accepted the start of a task, or may have."""
    first_start_at: Milliseconds = -1
    resubmission_due_at: Milliseconds = -1
    """When the job is cancelled unless it has a subscriber; -1 if it never lost one."""
    abandoned_at: Milliseconds = -1
    """When the connection of the last caller that waited for the answer broke; -1 while
    a caller waits."""
    resubmitted: bool = False
    """Whether another scheduler may have started tasks of the job before."""
    predecessor_runs_known: bool = False
    """Whether the direct predecessor reported all runs of a resubmitted job."""
    is_caller_retry: bool = False
    """Whether its caller sent it before, as detected by `CallerRetryDetector`."""
    may_have_run_before: bool = False
    """Whether tasks of an earlier submission by its caller may have run."""
    gateway_span: TraceParent | None = None
    span: TraceParent | None = None
    """Span of the scheduling, a child of `gateway_span`; None if it is not traced."""
    predecessor_revision: int = 0
    """Revision of the right of the predecessor that had the job; 0 if it is unknown or
    the predecessor was an acting scheduler."""
    latest_on_time_start: float = attrs.field(init=False)
    """A job that starts after this is expected to end late."""
    min_waiting_millicores: int = 0
    """The demand of its smallest waiting task."""
    latest_start: float = -1.0
    """Cached decision of the admission policy for a job that has not started; -1 if the
    policy was not asked yet."""
    sort_key: tuple = ()
    """Cached key of the ordering policy; valid while `offered` equals
    `sort_key_start_sent` and up to `sort_key_valid_until`."""
    sort_key_start_sent: bool = False
    sort_key_valid_until: float = -1.0
    decision_log: list[tuple[Milliseconds, str, str]] = attrs.field(factory=list)
    """Time, event and detail of each decision about the job."""

    @latest_on_time_start.default
    def _default_latest_on_time_start(self) -> float:
        return self.arrived_at + self.objective_ms - self.critical_path_ms

    @property
    def job_id(self) -> str:
        """The id that the caller gave the job."""
        return self.request.job_id

    @property
    def priority(self) -> int:
        """The priority of the job's route; 0 is the most urgent."""
        return self.route.priority

    @property
    def declared_work(self) -> float:
        """The declared work of all its tasks, in millicore-milliseconds."""
        return sum(
            step.count * step.demand.millicores * step.estimate_ms
            for step in self.request.steps
        )

    def create_tasks(self) -> None:
        """Create all tasks; those of steps without predecessors start to wait."""
        for number, step in enumerate(self.request.steps):
            self.unfinished.append(step.count)
            for index in range(step.count):
                name = task_name(self.job_id, number, index)
                self.tasks[name] = ScheduledTask(name, number)
        self.unblock_tasks()

    def unblock_tasks(self) -> None:
        """Enqueue the blocked tasks whose predecessors are all done."""
        for task in self.tasks.values():
            if task.state is not TaskState.BLOCKED:
                continue
            after = self.request.steps[task.step].after
            if all(self.unfinished[one] == 0 for one in after):
                self.enqueue(task)

    def enqueue(self, task: ScheduledTask) -> None:
        """Add a task to those that wait for capacity."""
        task.state = TaskState.WAITING
        self.waiting.append(task)
        self.waiting_work += self._work_of(task)
        self._update_min_millicores()

    def dequeue(self, task: ScheduledTask) -> None:
        """Remove a task that was placed or is done from those that wait."""
        self.waiting.remove(task)
        self.waiting_work -= self._work_of(task)
        self._update_min_millicores()

    def _update_min_millicores(self) -> None:
        steps = self.request.steps
        if len(steps) == 1:
            self.min_waiting_millicores = steps[0].demand.millicores
        elif self.waiting:
            self.min_waiting_millicores = min(
                steps[task.step].demand.millicores for task in self.waiting
            )

    def _work_of(self, task: ScheduledTask) -> float:
        step = self.request.steps[task.step]
        return step.demand.millicores * step.estimate_ms

    def defer(self, task: ScheduledTask, runs: dict[str, Milliseconds]) -> None:
        """Keep a task from starting while other runs of it may still exist.

        Parameters
        ----------
        task : ScheduledTask
        runs : dict
            By runner, when the run has ended; the id is empty if it is not known.
        """
        task.possible_runs = later_ends(task.possible_runs, runs)
        task.not_before = max(task.not_before, task.possible_runs.pop("", 0))
        self.has_deferred_tasks = True

    def lift_start_rules(self) -> None:
        """Let all tasks start anywhere: none of their runners has crashed."""
        if self.has_start_rules:
            self.has_start_rules = False
            for task in self.tasks.values():
                task.start_rule = StartRule.ANYWHERE

    def finish_task(self, task: ScheduledTask) -> bool:
        """Mark a task as done; return whether the job is complete."""
        if task.state is TaskState.WAITING:
            self.dequeue(task)
        task.state = TaskState.DONE
        task.run = None
        self.unfinished[task.step] -= 1
        if self.unfinished[task.step] == 0:
            self.unblock_tasks()
        return not any(self.unfinished)

    def return_task(self, task: ScheduledTask) -> None:
        """Enqueue a task again after its run has ended."""
        task.run = None
        self.enqueue(task)

    def record_decision(self, now: Milliseconds, event: str, detail: str = "") -> None:
        """Append a decision to the decision log, up to its maximum length."""
        if len(self.decision_log) < MAX_LOGGED_DECISIONS:
            self.decision_log.append((now, event, detail))


MAX_LOGGED_DECISIONS = 80
"""Maximum length of a decision log; a job of 32 tasks with a few retries fits."""


@attrs.define(eq=False)
class JobTable:
    """Open jobs in order of arrival, cached answers, and reports of predecessors."""

    open: dict[str, ScheduledJob] = attrs.field(factory=dict)
    answers: dict[str, tuple[JobOutcome, Milliseconds]] = attrs.field(factory=dict)
    """Outcome and end time of ended jobs, kept for callers that ask again."""
    cancelled: CancelledJobs = attrs.field(factory=CancelledJobs)
    inherited: dict[str, InheritedJob] = attrs.field(factory=dict)
    """What predecessors reported of jobs not submitted here yet, by job."""
    inherited_at: Milliseconds = -1
    """When such progress was last reported."""
    reported_revisions: set[int] = attrs.field(factory=set)
    """Revisions of rights whose holders have reported all runs, also of earlier ones.
    """
    unseen_by_predecessor: dict[str, Milliseconds] | None = None
    """By runner that the report of the direct predecessor does not cover: when the runs
    that only earlier schedulers knew of have ended. None without such a report."""
    new_job_rate: WorkRate = attrs.field(factory=WorkRate)
    """Arrival rate of work, without caller retries."""
    backlog: Backlog = attrs.field(factory=Backlog)
    return_times: ReturnTimes = attrs.field(factory=ReturnTimes)
    """When the callers of refused jobs may return."""
    predecessor_runs_possible: bool = False
    """Whether runners may have runs of a predecessor that this scheduler does not know
    of, as of the last scheduling pass."""
    changed: bool = False
    """Whether jobs or runs changed in a way that calls for a scheduling pass."""

    def discard_all(self) -> None:
        """Discard what does not hold after another instance took over.

        Results of jobs stay; a job that was refused here may run there.
        """
        for job_id in [
            job_id
            for job_id, (outcome, _) in self.answers.items()
            if outcome is JobOutcome.REFUSED
        ]:
            del self.answers[job_id]
        self.open.clear()
        self.inherited.clear()
        self.reported_revisions.clear()
        self.backlog.replace({})
        self.return_times = ReturnTimes()
        self.unseen_by_predecessor = None
