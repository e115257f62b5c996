"""Scheduling passes: place waiting tasks on runners and refuse jobs that are too late.

Load pattern: more tasks wait than the runners have capacity for.
"""

from operator import attrgetter

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.events import RunPlaced
from sassafrasloft.instance.tracing import child_span, record_span
from sassafrasloft.invariants import InstanceInvariant
from sassafrasloft.runs import Run, RunnerView, RunState, StartRule
from sassafrasloft.runs.health import current_slowness
from sassafrasloft.scheduling.admission import Admission, Refusal, retry_after_s
from sassafrasloft.scheduling.free_capacity import FreeCapacity
from sassafrasloft.scheduling.job_lifecycle import REFUSAL_TIMER, JobLifecycle
from sassafrasloft.scheduling.jobs import (
    JobOutcome,
    ScheduledJob,
    ScheduledTask,
    TaskState,
)
from sassafrasloft.scheduling.ordering import JobOrder
from sassafrasloft.scheduling.placement import SLOWNESS_LIMIT, Placement
from sassafrasloft.scheduling.predecessor_runs import (
    is_deferred,
    may_start,
    predecessor_runs_possible,
)
from sassafrasloft.scheduling.scheduling_pass import NEVER, SchedulingPass

RUNNERS_PER_ISOLATED_RUN = 8
"""One runner in so many may serve a task that has to be alone."""
_SORT_KEY = attrgetter("sort_key")


class TaskPlacer:
    """Places waiting tasks on runners, in the order that a policy defines.

    Parameters
    ----------
    lifecycle : JobLifecycle
        Ends refused jobs and adopts orphaned runs.
    admission : Admission
    order : JobOrder
    placement : Placement
    """

    def __init__(
        self,
        lifecycle: JobLifecycle,
        admission: Admission,
        order: JobOrder,
        placement: Placement,
    ) -> None:
        self._lifecycle = lifecycle
        self._admission = admission
        self._order = order
        self._placement = placement
        self._refusal_timer_at = -1

    def handle_refusal_timer(self) -> None:
        """Record that the timer for the next refusal has fired and is no longer set."""
        self._refusal_timer_at = -1

    def place_all(self, board: InstanceBoard) -> int:
        """Place the waiting tasks that fit and refuse jobs that have waited too long.

        Returns
        -------
        int
            The number of jobs and runners that were examined.
        """
        jobs = board.jobs
        waiting = [job for job in jobs.open.values() if job.waiting]
        if not waiting:
            jobs.backlog.replace({})
            return 0
        jobs.predecessor_runs_possible = predecessor_runs_possible(board)
        self._sort(waiting, board.now)
        this_pass = SchedulingPass(len(waiting))
        for job in waiting:
            self._examine(job, this_pass, board)
        jobs.backlog.replace(this_pass.backlog)
        self._set_refusal_timer(this_pass.next_decision_at, board)
        return len(waiting) + sum(map(len, this_pass.free_capacities.values()))

    def _sort(self, waiting: list[ScheduledJob], now: Milliseconds) -> None:
        """Sort jobs in place; keys are cached until a job starts or becomes late."""
        for job in waiting:
            if (
                now > job.sort_key_valid_until
                or job.start_sent != job.sort_key_start_sent
            ):
                job.sort_key = self._order.key(job, now)
                job.sort_key_start_sent = job.start_sent
                job.sort_key_valid_until = (
                    job.latest_on_time_start
                    if now <= job.latest_on_time_start
                    else NEVER
                )
        waiting.sort(key=_SORT_KEY)

    def _examine(
        self, job: ScheduledJob, this_pass: SchedulingPass, board: InstanceBoard
    ) -> None:
        if self._gives_up(job, board):
            return
        service = job.route.service
        capacity = this_pass.free_capacities.get(service)
        if capacity is None:
            capacity = _free_capacity(service, board)
            this_pass.free_capacities[service] = capacity
        if job.min_waiting_millicores <= capacity.max_free_millicores:
            self._place_job(job, capacity, board)
        preceding_work = this_pass.preceding_work[service]
        may_be_unservable = job.is_caller_retry or board.pool.evacuated_zones
        if may_be_unservable and self._refuse_if_unservable(job, preceding_work, board):
            return
        refusal_at = self._refusal_time(job, board)
        if board.now >= refusal_at:
            if self._refuse_expired(job, capacity, this_pass.waiting, board):
                return
        else:
            if job.has_waited_for_rack:
                refusal_at = min(refusal_at, _rack_wait_ends_at(job, board))
            if refusal_at < this_pass.next_decision_at:
                this_pass.next_decision_at = refusal_at
        this_pass.add_waiting_work(job, board)

    def _gives_up(self, job: ScheduledJob, board: InstanceBoard) -> bool:
        """Fail a job if too many runners have crashed under one of its tasks."""
        if not board.crashes.concerns(job.job_id):
            job.lift_start_rules()
            return False
        job.has_start_rules = True
        for task in job.waiting:
            task.start_rule = board.crashes.rule_for(task.name)
            if task.start_rule is StartRule.NOWHERE:
                board.count("tasks_given_up")
                reason = f"runners crashed under {task.name}"
                self._lifecycle.end(job, JobOutcome.FAILED, reason, board)
                return True
        return False

    def _refuse_expired(
        self,
        job: ScheduledJob,
        capacity: FreeCapacity,
        waiting: int,
        board: InstanceBoard,
    ) -> bool:
        """Refuse a job that has waited too long, unless a slow runner can start it.

        Returns
        -------
        bool
            Whether the job was refused.
        """
        if self._start_on_slow_runners(job, capacity, board):
            return False
        job.record_decision(
            board.now, "no_room", _describe_capacity(capacity, waiting, board)
        )
        refusal = Refusal("no room in time", retry_after_s(job, board))
        self._lifecycle.refuse(job, refusal, board)
        return True

    def _refuse_if_unservable(
        self, job: ScheduledJob, work_ahead: float, board: InstanceBoard
    ) -> bool:
        if job.start_sent or job.resubmitted:
            return False
        refusal = self._admission.while_waiting(job, work_ahead, board)
        if refusal is not None:
            self._lifecycle.refuse(job, refusal, board)
        return refusal is not None

    def _start_on_slow_runners(
        self, job: ScheduledJob, capacity: FreeCapacity, board: InstanceBoard
    ) -> bool:
        """Place the tasks of a job on slow runners, where it may end late.

        The job would be refused otherwise. Return whether one of its tasks has a run.
        """
        now = board.now
        views = [one for one in capacity if current_slowness(one, now) > SLOWNESS_LIMIT]
        slow_capacity = FreeCapacity(views, capacity.away_factor)
        if not len(slow_capacity) or not may_start(job, board):
            return False
        self._place_tasks(job, slow_capacity, job.deadline_at, board)
        return any(task.run is not None for task in job.tasks.values())

    def _refusal_time(self, job: ScheduledJob, board: InstanceBoard) -> float:
        """Return when a job is to be refused if it still waits then.

        Infinite for a job that has no waiting task or has a run.
        """
        if not job.waiting:
            return NEVER
        if not job.start_sent:
            if job.resubmitted:
                return job.deadline_at
            if job.latest_start < 0:
                job.latest_start = self._admission.latest_start(job, board)
            return job.latest_start
        if any(task.run is not None for task in job.tasks.values()):
            return NEVER
        if job.may_have_started:
            return job.deadline_at - job.critical_path_ms
        return self._admission.latest_start(job, board)

    def _set_refusal_timer(self, refusal_at: float, board: InstanceBoard) -> None:
        if refusal_at == NEVER:
            return
        fires_at = int(refusal_at) + 1
        if self._refusal_timer_at != fires_at:
            self._refusal_timer_at = fires_at
            board.set_timer(REFUSAL_TIMER, fires_at - board.now)

    def _place_job(
        self, job: ScheduledJob, capacity: FreeCapacity, board: InstanceBoard
    ) -> None:
        if not may_start(job, board):
            return
        latest_end = int(job.arrived_at + job.objective_ms)
        if board.now + job.critical_path_ms > latest_end:
            latest_end = job.deadline_at
        self._place_tasks(job, capacity, latest_end, board)

    def _place_tasks(
        self,
        job: ScheduledJob,
        capacity: FreeCapacity,
        latest_end: Milliseconds,
        board: InstanceBoard,
    ) -> None:
        for task in list(job.waiting):
            demand = job.request.steps[task.step].demand
            if demand.millicores > capacity.max_free_millicores:
                continue
            if task.name in board.pool.live_runs:
                continue
            if task.name in board.pool.orphans:
                self._lifecycle.adopt_if_running(job, task, board)
                continue
            if job.has_deferred_tasks and is_deferred(task, board):
                continue
            if not _may_start_now(task, board):
                continue
            view = self._placement.choose(capacity, job, task, latest_end, board.now)
            if view is None and task.rack_wait_began_at == board.now:
                job.has_waited_for_rack = True
                board.count("rack_waits")
                rack = job.request.steps[task.step].preferred_rack
                job.record_decision(board.now, "waits_for_rack", f"{task.name} {rack}")
            if view is not None:
                self._start(job, task, view, board)
                capacity.update_runner(view)

    def _start(
        self,
        job: ScheduledJob,
        task: ScheduledTask,
        view: RunnerView,
        board: InstanceBoard,
    ) -> None:
        step = job.request.steps[task.step]
        task.starts += 1
        expected = board.estimates.expected_ms(job.route.name, step.estimate_ms)
        run = Run(
            task.name,
            task.starts,
            view.runner_id,
            step.demand,
            expected,
            RunState.STARTING,
            board.now,
            start_rule=task.start_rule,
        )
        board.auditor.check(
            InstanceInvariant.STARTS_AT_MOST_ONCE,
            task.state is TaskState.WAITING,
            f"task {task.name} is placed while it is {task.state.value}",
        )
        board.auditor.check(
            InstanceInvariant.ONE_RUN_AT_A_TIME,
            task.name not in board.pool.live_runs,
            f"task {task.name} is placed while it has a live run",
        )
        board.auditor.check(
            InstanceInvariant.LEAVING_GETS_NO_WORK,
            not view.entry.draining,
            f"task {task.name} is placed on draining runner {run.runner_id}",
        )
        board.pool.reserve(run)
        _record_rack_wait(task, view.entry.is_in(step.preferred_rack), board)
        job.dequeue(task)
        task.state = TaskState.PLACED
        task.run = run
        job.start_sent = True
        if job.first_start_at < 0:
            job.first_start_at = board.now
            if job.span is not None:
                wait = child_span(job.span, board)
                started_at = job.accepted_at
                record_span(board, wait, job.span, "wait", started_at, job=job.job_id)
        job.record_decision(
            board.now,
            "placed",
            f"{task.name} run={run.number} runner={run.runner_id} "
            f"free={view.free.millicores} "
            f"slowness={current_slowness(view, board.now):.1f} "
            f"answer_age_ms={board.now - view.last_answer_at}",
        )
        board.post(RunPlaced(run, job.request.spec))


def _free_capacity(service: str, board: InstanceBoard) -> FreeCapacity:
    """Return the free capacity of a service and what a wait for a rack depends on."""
    capacity = FreeCapacity.of_service(board.pool, service, board.now)
    backlog = board.jobs.backlog
    millicores = backlog.service_capacity(service, board.pool, board.now)
    if millicores:
        capacity.backlog_ms = backlog.of_service(service) / millicores
    capacity.longest_rack_wait_ms = board.tuning.longest_rack_wait_ms
    return capacity


def _rack_wait_ends_at(job: ScheduledJob, board: InstanceBoard) -> float:
    """Return when a task of a job has waited for its rack for the longest time."""
    began = [one.rack_wait_began_at for one in job.waiting]
    earliest = min((one for one in began if one >= 0), default=NEVER)
    ends_at = earliest + board.tuning.longest_rack_wait_ms
    return ends_at if ends_at > board.now else NEVER


def _record_rack_wait(
    task: ScheduledTask, is_in_rack: bool, board: InstanceBoard
) -> None:
    """Count whether a wait for the rack of a task's data has led there."""
    if task.rack_wait_began_at < 0:
        return
    board.measure("rack_wait", board.now - task.rack_wait_began_at)
    if is_in_rack:
        board.count("rack_waits_paid")
    else:
        board.count("rack_waits_in_vain")
    task.rack_wait_began_at = -1


def _may_start_now(task: ScheduledTask, board: InstanceBoard) -> bool:
    """Return whether a task under which runners were lost may start now.

    A bounded share of the runners serves tasks that have to be alone.
    """
    if task.start_rule is StartRule.WAIT:
        return False
    if task.start_rule is not StartRule.ALONE:
        return True
    runners = board.pool.runners.values()
    isolated = sum(view.isolated_runs for view in runners)
    return isolated < max(1, len(runners) // RUNNERS_PER_ISOLATED_RUN)


def _describe_capacity(
    capacity: FreeCapacity, waiting: int, board: InstanceBoard
) -> str:
    """Return the state of the runners for the log of a refusal for lack of capacity."""
    return (
        f"usable_runners={len(capacity)} of {len(board.pool.runners)} "
        f"most_free={capacity.highest_free_millicores(4)} waiting_jobs={waiting} "
        f"list_age_ms={board.now - board.pool.entries_read_at}"
    )
