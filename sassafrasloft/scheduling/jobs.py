"""Jobs as the scheduler keeps them."""

from enum import StrEnum

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.messages import JobProgress
from sassafrasloft.runs import Run
from sassafrasloft.scheduling.backlog import Backlog
from sassafrasloft.scheduling.work_rate import WorkRate
from sassafrasloft.traces.traceparent import TraceParent
from sassafrasloft.workload import JobRequest, Route, task_name


class JobOutcome(StrEnum):
    """What became of a job."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    """No task of it has started, and none will."""
    MAY_HAVE_RUN = "may_have_run"
    NO_SUCH_ROUTE = "no_such_route"


class TaskState(StrEnum):
    """How far a task is."""

    BLOCKED = "blocked"
    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@attrs.define(eq=False)
class ScheduledTask:
    """A task of an open job."""

    name: str
    step: int
    state: TaskState = TaskState.BLOCKED
    run: Run | None = None
    starts: int = 0
    """The highest run number used."""
    failures: int = 0
    failed_on: set[str] = attrs.field(factory=set)
    not_before: Milliseconds = 0
    """Until then a run that is not known here may still be at work."""


@attrs.define(eq=False)
class ScheduledJob:
    """An open job.

    Parameters
    ----------
    arrived_at : int
        When the caller's request arrived at its instance, by our clock.
    deadline_at : int
        When the caller stops waiting.
    objective_ms : float
        Within which time from arrival it is in time.
    work_ms : float
        The estimated duration of its longest chain.
    """

    request: JobRequest
    route: Route
    arrived_at: Milliseconds
    deadline_at: Milliseconds
    objective_ms: float
    work_ms: float
    accepted_at: Milliseconds
    followers: set[int] = attrs.field(factory=set)
    """Streams whose callers wait for the answer."""
    tasks: dict[str, ScheduledTask] = attrs.field(factory=dict)
    unfinished: list[int] = attrs.field(factory=list)
    """Tasks not done, by step."""
    waiting: list[ScheduledTask] = attrs.field(factory=list)
    """Changed by `wait` and `end_wait` only."""
    waiting_work: float = 0.0
    """Of the tasks that wait, in millicore-milliseconds, as declared."""
    held_back: bool = False
    """Whether runs that are not known here may hold back one of its tasks."""
    offered: bool = False
    """Whether a start of a task was sent to a runner."""
    started: bool = False
    """Whether a runner has accepted a start, or may have."""
    first_start_at: Milliseconds = -1
    unfollowed_since: Milliseconds = -1
    """When the last instance that waited for the answer was lost."""
    abandoned_at: Milliseconds = -1
    """When the connection of the last caller broke that waited for the answer."""
    resubmitted: bool = False
    repeated: bool = False
    """Whether its caller has sent it before, as the time that it still waits tells."""
    gateway_span: TraceParent | None = None
    span: TraceParent | None = None
    """Of the scheduling, under the gateway's; both only if the job is traced."""
    former_revision: int = 0
    """Of the right of the scheduler that had it before; 0 if unknown or acting."""
    late_at: float = attrs.field(init=False)
    """After this a job that has not begun cannot be in time."""
    least_millicores: int = 0
    """The demand of its smallest task that waits."""
    latest_start: float = -1.0
    """As admission decided, if it has not begun; -1 before it was asked for."""
    sort_key: tuple = ()
    """Its place among the waiting jobs, for as long as the next two fields say."""
    sort_key_offered: bool = False
    sort_key_until: float = -1.0
    trail: list[tuple[Milliseconds, str, str]] = attrs.field(factory=list)

    @late_at.default
    def _default_late_at(self) -> float:
        return self.arrived_at + self.objective_ms - self.work_ms

    @property
    def job_id(self) -> str:
        """The caller's id of the job."""
        return self.request.job_id

    @property
    def priority(self) -> int:
        """0 is the most urgent."""
        return self.route.priority

    def create_tasks(self) -> None:
        """Create all tasks; those of steps without predecessors wait."""
        for number, step in enumerate(self.request.steps):
            self.unfinished.append(step.count)
            for index in range(step.count):
                name = task_name(self.job_id, number, index)
                self.tasks[name] = ScheduledTask(name, number)
        self.release_steps()

    def release_steps(self) -> None:
        """Let tasks wait whose predecessors are all done."""
        for task in self.tasks.values():
            if task.state is not TaskState.BLOCKED:
                continue
            after = self.request.steps[task.step].after
            if all(self.unfinished[one] == 0 for one in after):
                self.wait(task)

    def wait(self, task: ScheduledTask) -> None:
        """Let a task wait for room."""
        task.state = TaskState.WAITING
        self.waiting.append(task)
        self.waiting_work += self._work_of(task)
        self._find_least()

    def end_wait(self, task: ScheduledTask) -> None:
        """Take a task that has been given room, or is done, from those that wait."""
        self.waiting.remove(task)
        self.waiting_work -= self._work_of(task)
        self._find_least()

    def _find_least(self) -> None:
        steps = self.request.steps
        if len(steps) == 1:
            self.least_millicores = steps[0].demand.millicores
        elif self.waiting:
            self.least_millicores = min(
                steps[task.step].demand.millicores for task in self.waiting
            )

    def _work_of(self, task: ScheduledTask) -> float:
        step = self.request.steps[task.step]
        return step.demand.millicores * step.estimate_ms

    def hold_back(self, task: ScheduledTask, until: Milliseconds) -> None:
        """Keep a task from starting while an unknown run of it may be at work."""
        task.not_before = until
        self.held_back = True

    def finish_task(self, task: ScheduledTask) -> bool:
        """Note a task as done; return whether the job is complete."""
        if task.state is TaskState.WAITING:
            self.end_wait(task)
        task.state = TaskState.DONE
        task.run = None
        self.unfinished[task.step] -= 1
        if self.unfinished[task.step] == 0:
            self.release_steps()
        return not any(self.unfinished)

    def return_task(self, task: ScheduledTask) -> None:
        """Let a task wait again after its run is over."""
        task.run = None
        self.wait(task)

    def note(self, now: Milliseconds, event: str, detail: str = "") -> None:
        """Keep a decision for the log of this job."""
        if len(self.trail) < MAX_TRAIL:
            self.trail.append((now, event, detail))


MAX_TRAIL = 80
"""Decisions kept for one job: a job of 32 tasks with a few retries fits."""


@attrs.define(eq=False)
class JobTable:
    """Open jobs in the order of their arrival, and answers kept for callers."""

    open: dict[str, ScheduledJob] = attrs.field(factory=dict)
    answers: dict[str, tuple[JobOutcome, Milliseconds]] = attrs.field(factory=dict)
    inherited: dict[str, JobProgress] = attrs.field(factory=dict)
    """What an earlier scheduler handed over, by job."""
    inherited_at: Milliseconds = -1
    """When the last of these were handed over."""
    handed_over: set[int] = attrs.field(factory=set)
    """Revisions of rights whose holders have reported all of their runs."""
    predecessor_known: bool = False
    """Whether the scheduler before this one has reported all of its runs."""
    new_work: WorkRate = attrs.field(factory=WorkRate)
    """Work of jobs that can be in time, as it arrives."""
    backlog: Backlog = attrs.field(factory=Backlog)
    earlier_runs_possible: bool = False
    """Whether runners may have runs of an earlier scheduler that are not known here,
    as of the last pass over the waiting jobs."""
    changed: bool = False

    def forget(self) -> None:
        """Forget open jobs: another instance schedules them now."""
        self.open.clear()
        self.inherited.clear()
        self.handed_over.clear()
        self.backlog.replace({})
        self.predecessor_known = False
