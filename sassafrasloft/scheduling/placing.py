"""Places waiting tasks on runners, and refuses jobs whose time has passed.

Load pattern: more tasks wait than the runners have room for.
"""

from collections import Counter

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.events import TaskPlaced
from sassafrasloft.instance.tracing import child_span, record_span
from sassafrasloft.invariants import InstanceInvariant
from sassafrasloft.runs import Run, RunState
from sassafrasloft.scheduling.admission import (
    Admission,
    Refusal,
    retry_after_s,
    waiting_work,
)
from sassafrasloft.scheduling.earlier_runs import may_start
from sassafrasloft.scheduling.job_keeping import WAIT_TIMER, JobKeeper
from sassafrasloft.scheduling.jobs import ScheduledJob, ScheduledTask, TaskState
from sassafrasloft.scheduling.ordering import JobOrder
from sassafrasloft.scheduling.placement import SLOW, Candidate, Placement, candidates


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

    def place_all(self, board: InstanceBoard) -> None:
        """Place what fits, and refuse what can no longer be served."""
        waiting = [job for job in board.jobs.open.values() if job.waiting]
        if not waiting:
            return
        now = board.now
        order = self._order
        waiting.sort(key=lambda job: order.key(job, now))
        offers: dict[str, list[Candidate]] = {}
        ahead: Counter[str] = Counter()
        next_limit = float("inf")
        for job in waiting:
            service = job.route.service
            if service not in offers:
                offers[service] = candidates(board.pool, service, now)
            self._place_job(job, offers[service], board)
            if self._refuse_if_hopeless(job, ahead[service], board):
                continue
            ahead[service] += waiting_work(job, board)
            limit = self._limit_of(job, board)
            if limit is None:
                continue
            if now >= limit and self._start_on_slow(job, offers[service], board):
                continue
            if now >= limit:
                job.note(
                    now, "no_room", _describe_room(offers[service], waiting, board)
                )
                refusal = Refusal("no room in time", retry_after_s(board))
                self._keeper.refuse(job, refusal, board)
            else:
                next_limit = min(next_limit, limit)
        self._set_wait_timer(next_limit, board)

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
        self, job: ScheduledJob, offers: list[Candidate], board: InstanceBoard
    ) -> bool:
        """Start a job late on slow runners rather than refuse it."""
        slow = [one for one in offers if one.slowness > SLOW]
        if not slow or not may_start(job, board):
            return False
        self._place_tasks(job, slow, job.deadline_at, board)
        return any(task.run is not None for task in job.tasks.values())

    def _limit_of(self, job: ScheduledJob, board: InstanceBoard) -> float | None:
        """Return when a job that waits is to be refused; None if it is not."""
        if not job.waiting:
            return None
        if not job.offered:
            if job.resubmitted:
                return job.deadline_at
            return self._admission.latest_start(job, board)
        if any(task.run is not None for task in job.tasks.values()):
            return None
        if job.started:
            return job.deadline_at - job.work_ms
        return self._admission.latest_start(job, board)

    def _set_wait_timer(self, limit: float, board: InstanceBoard) -> None:
        if limit == float("inf"):
            return
        at = int(limit) + 1
        if self._wait_timer_at != at:
            self._wait_timer_at = at
            board.set_timer(WAIT_TIMER, at - board.now)

    def _place_job(
        self, job: ScheduledJob, offers: list[Candidate], board: InstanceBoard
    ) -> None:
        if not offers or not may_start(job, board):
            return
        latest_end = int(job.arrived_at + job.objective_ms)
        if board.now + job.work_ms > latest_end:
            latest_end = job.deadline_at
        self._place_tasks(job, offers, latest_end, board)

    def _place_tasks(
        self,
        job: ScheduledJob,
        offers: list[Candidate],
        latest_end: Milliseconds,
        board: InstanceBoard,
    ) -> None:
        largest = max(offer.view.free.millicores for offer in offers)
        for task in list(job.waiting):
            demand = job.request.steps[task.step].demand
            if demand.millicores > largest:
                continue
            if task.name in board.pool.live_runs:
                continue
            if task.name in board.pool.orphans:
                self._keeper.adopt_if_running(job, task, board)
                continue
            if board.now < task.not_before:
                continue
            offer = self._placement.choose(offers, job, task, latest_end, board.now)
            if offer is not None:
                was_largest = offer.view.free.millicores == largest
                self._start(job, task, offer, board)
                if was_largest:
                    largest = max(one.view.free.millicores for one in offers)

    def _start(
        self,
        job: ScheduledJob,
        task: ScheduledTask,
        offer: Candidate,
        board: InstanceBoard,
    ) -> None:
        step = job.request.steps[task.step]
        task.starts += 1
        expected = board.estimates.expect(job.route.name, step.estimate_ms)
        run = Run(
            task.name,
            task.starts,
            offer.view.runner_id,
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
            not offer.view.entry.draining,
            f"task {task.name} on draining runner {run.runner_id}",
        )
        board.pool.reserve(run)
        job.waiting.remove(task)
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
            f"free={offer.view.free.millicores} slowness={offer.slowness:.1f} "
            f"answer_age_ms={board.now - offer.view.last_answer_at}",
        )
        board.post(TaskPlaced(run, job.request.spec))


def _describe_room(
    offers: list[Candidate], waiting: list[ScheduledJob], board: InstanceBoard
) -> str:
    """Return what a refusal for want of room was decided by."""
    free = sorted((one.view.free.millicores for one in offers), reverse=True)
    return (
        f"usable_runners={len(offers)} of {len(board.pool.runners)} "
        f"most_free={free[:4]} waiting_jobs={len(waiting)} "
        f"list_age_ms={board.now - board.pool.entries_read_at}"
    )
