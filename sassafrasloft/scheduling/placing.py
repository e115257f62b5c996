"""Places waiting tasks on runners, and refuses jobs whose time has passed.

Load pattern: more tasks wait than the runners have room for.
"""

from collections import Counter
from operator import attrgetter

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.events import TaskPlaced
from sassafrasloft.instance.tracing import child_span, record_span
from sassafrasloft.invariants import InstanceInvariant
from sassafrasloft.runs import Run, RunnerView, RunState
from sassafrasloft.runs.health import current_slowness
from sassafrasloft.scheduling.admission import Admission, Refusal, retry_after_s
from sassafrasloft.scheduling.backlog import WorkByClass
from sassafrasloft.scheduling.earlier_runs import (
    earlier_runs_possible,
    may_start,
    waiting_work,
)
from sassafrasloft.scheduling.free_room import FreeRoom
from sassafrasloft.scheduling.job_keeping import WAIT_TIMER, JobKeeper
from sassafrasloft.scheduling.jobs import ScheduledJob, ScheduledTask, TaskState
from sassafrasloft.scheduling.ordering import JobOrder
from sassafrasloft.scheduling.placement import SLOW, Placement

_NEVER = float("inf")
_SORT_KEY = attrgetter("sort_key")


@attrs.define(eq=False)
class _Pass:
    """One pass over the waiting jobs.

    Parameters
    ----------
    waiting : int
        The number of jobs.
    """

    waiting: int
    rooms: dict[str, FreeRoom] = attrs.field(factory=dict)
    """By service."""
    ahead: Counter[str] = attrs.field(factory=Counter)
    """Work of the jobs that were looked at, by service."""
    backlog: WorkByClass = attrs.field(factory=dict)
    next_limit: float = _NEVER
    """When the next job is to be refused."""

    def add_work(self, job: ScheduledJob, board: InstanceBoard) -> None:
        """Count the tasks of a job that still wait."""
        simple = not (job.held_back or job.resubmitted)
        work = job.waiting_work if simple else waiting_work(job, board)
        if work:
            service = job.route.service
            self.ahead[service] += work
            late = job.repeated or board.now > job.late_at
            key = (service, late, job.priority)
            self.backlog[key] = self.backlog.get(key, 0.0) + work


class TaskPlacer:
    """Gives room to waiting tasks, in the order of a policy.

    Parameters
    ----------
    keeper : JobKeeper
        Ends jobs that are refused, and adopts runs.
    admission : Admission
    order : JobOrder
    placement : Placement
    """

    def __init__(
        self,
        keeper: JobKeeper,
        admission: Admission,
        order: JobOrder,
        placement: Placement,
    ) -> None:
        self._keeper = keeper
        self._admission = admission
        self._order = order
        self._placement = placement
        self._wait_timer_at = -1

    def note_timer(self) -> None:
        """Note that the timer of the next refusal has fired."""
        self._wait_timer_at = -1

    def place_all(self, board: InstanceBoard) -> int:
        """Place what fits, and refuse what can no longer be served.

        Returns
        -------
        int
            The number of jobs and runners that were looked at.
        """
        jobs = board.jobs
        waiting = [job for job in jobs.open.values() if job.waiting]
        if not waiting:
            jobs.backlog.replace({})
            return 0
        jobs.earlier_runs_possible = earlier_runs_possible(board)
        self._sort(waiting, board.now)
        this_pass = _Pass(len(waiting))
        for job in waiting:
            self._look_at(job, this_pass, board)
        jobs.backlog.replace(this_pass.backlog)
        self._set_wait_timer(this_pass.next_limit, board)
        return len(waiting) + sum(map(len, this_pass.rooms.values()))

    def _sort(self, waiting: list[ScheduledJob], now: Milliseconds) -> None:
        """Sort jobs; keys are kept until a job begins or becomes late."""
        for job in waiting:
            if now > job.sort_key_until or job.offered != job.sort_key_offered:
                job.sort_key = self._order.key(job, now)
                job.sort_key_offered = job.offered
                job.sort_key_until = job.late_at if now <= job.late_at else _NEVER
        waiting.sort(key=_SORT_KEY)

    def _look_at(
        self, job: ScheduledJob, this_pass: "_Pass", board: InstanceBoard
    ) -> None:
        service = job.route.service
        room = this_pass.rooms.get(service)
        if room is None:
            room = FreeRoom.of_service(board.pool, service, board.now)
            this_pass.rooms[service] = room
        if job.least_millicores <= room.largest:
            self._place_job(job, room, board)
        ahead = this_pass.ahead[service]
        if job.repeated and self._refuse_if_hopeless(job, ahead, board):
            return
        limit = self._limit_of(job, board)
        if board.now >= limit:
            if self._refuse_overdue(job, room, this_pass.waiting, board):
                return
        elif limit < this_pass.next_limit:
            this_pass.next_limit = limit
        this_pass.add_work(job, board)

    def _refuse_overdue(
        self, job: ScheduledJob, room: FreeRoom, waiting: int, board: InstanceBoard
    ) -> bool:
        """Refuse a job whose time has passed unless slow runners have room."""
        if self._start_on_slow(job, room, board):
            return False
        job.note(board.now, "no_room", _describe_room(room, waiting, board))
        refusal = Refusal("no room in time", retry_after_s(board))
        self._keeper.refuse(job, refusal, board)
        return True

    def _refuse_if_hopeless(
        self, job: ScheduledJob, work_ahead: float, board: InstanceBoard
    ) -> bool:
        if job.offered or job.resubmitted:
            return False
        refusal = self._admission.while_waiting(job, work_ahead, board)
        if refusal is not None:
            self._keeper.refuse(job, refusal, board)
        return refusal is not None

    def _start_on_slow(
        self, job: ScheduledJob, room: FreeRoom, board: InstanceBoard
    ) -> bool:
        """Start a job late on slow runners rather than refuse it."""
        now = board.now
        views = [one for one in room if current_slowness(one, now) > SLOW]
        slow = FreeRoom(views, room.away_factor)
        if not len(slow) or not may_start(job, board):
            return False
        self._place_tasks(job, slow, job.deadline_at, board)
        return any(task.run is not None for task in job.tasks.values())

    def _limit_of(self, job: ScheduledJob, board: InstanceBoard) -> float:
        """Return when a job that waits is to be refused; infinite if it is not."""
        if not job.waiting:
            return _NEVER
        if not job.offered:
            if job.resubmitted:
                return job.deadline_at
            if job.latest_start < 0:
                job.latest_start = self._admission.latest_start(job, board)
            return job.latest_start
        if any(task.run is not None for task in job.tasks.values()):
            return _NEVER
        if job.started:
            return job.deadline_at - job.work_ms
        return self._admission.latest_start(job, board)

    def _set_wait_timer(self, limit: float, board: InstanceBoard) -> None:
        if limit == _NEVER:
            return
        at = int(limit) + 1
        if self._wait_timer_at != at:
            self._wait_timer_at = at
            board.set_timer(WAIT_TIMER, at - board.now)

    def _place_job(
        self, job: ScheduledJob, room: FreeRoom, board: InstanceBoard
    ) -> None:
        if not may_start(job, board):
            return
        latest_end = int(job.arrived_at + job.objective_ms)
        if board.now + job.work_ms > latest_end:
            latest_end = job.deadline_at
        self._place_tasks(job, room, latest_end, board)

    def _place_tasks(
        self,
        job: ScheduledJob,
        room: FreeRoom,
        latest_end: Milliseconds,
        board: InstanceBoard,
    ) -> None:
        for task in list(job.waiting):
            demand = job.request.steps[task.step].demand
            if demand.millicores > room.largest:
                continue
            if task.name in board.pool.live_runs:
                continue
            if task.name in board.pool.orphans:
                self._keeper.adopt_if_running(job, task, board)
                continue
            if board.now < task.not_before:
                continue
            view = self._placement.choose(room, job, task, latest_end, board.now)
            if view is not None:
                self._start(job, task, view, board)
                room.note_change(view)

    def _start(
        self,
        job: ScheduledJob,
        task: ScheduledTask,
        view: RunnerView,
        board: InstanceBoard,
    ) -> None:
        step = job.request.steps[task.step]
        task.starts += 1
        expected = board.estimates.expect(job.route.name, step.estimate_ms)
        run = Run(
            task.name,
            task.starts,
            view.runner_id,
            step.demand,
            expected,
            RunState.STARTING,
            board.now,
        )
        board.auditor.check(
            InstanceInvariant.STARTS_AT_MOST_ONCE,
            task.state is TaskState.WAITING,
            f"task {task.name} is {task.state.value}",
        )
        board.auditor.check(
            InstanceInvariant.ONE_RUN_AT_A_TIME,
            task.name not in board.pool.live_runs,
            f"task {task.name} has a run",
        )
        board.auditor.check(
            InstanceInvariant.LEAVING_GETS_NO_WORK,
            not view.entry.draining,
            f"task {task.name} on draining runner {run.runner_id}",
        )
        board.pool.reserve(run)
        job.end_wait(task)
        task.state = TaskState.PLACED
        task.run = run
        job.offered = True
        if job.first_start_at < 0:
            job.first_start_at = board.now
            if job.span is not None:
                wait = child_span(job.span, board)
                began = job.accepted_at
                record_span(board, wait, job.span, "wait", began, job=job.job_id)
        job.note(
            board.now,
            "placed",
            f"{task.name} run={run.number} runner={run.runner_id} "
            f"free={view.free.millicores} "
            f"slowness={current_slowness(view, board.now):.1f} "
            f"answer_age_ms={board.now - view.last_answer_at}",
        )
        board.post(TaskPlaced(run, job.request.spec))


def _describe_room(room: FreeRoom, waiting: int, board: InstanceBoard) -> str:
    """Return what a refusal for want of room was decided by."""
    return (
        f"usable_runners={len(room)} of {len(board.pool.runners)} "
        f"most_free={room.most_free(4)} waiting_jobs={waiting} "
        f"list_age_ms={board.now - board.pool.entries_read_at}"
    )
