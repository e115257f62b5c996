"""Places waiting tasks, and learns what became of their runs."""

from collections import Counter

from sassafrasloft.blackboard import Event, TimerFired
from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    FollowerLost,
    RightGained,
    RightLost,
    RunAccepted,
    RunFinished,
    RunOverdue,
    SchedulerMessage,
    StopTask,
    TaskPlaced,
)
from sassafrasloft.instance.tracing import child_span, record_span
from sassafrasloft.invariants import InstanceInvariant
from sassafrasloft.runs import Run, RunEnd, RunState
from sassafrasloft.scheduling.admission import (
    Refusal,
    retry_after_s,
    waiting_work,
)
from sassafrasloft.scheduling.earlier_runs import may_start
from sassafrasloft.scheduling.job_keeping import (
    PRUNE_MS,
    PRUNE_TIMER,
    UNFOLLOWED_TIMER,
    WAIT_TIMER,
    JobKeeper,
)
from sassafrasloft.scheduling.jobs import (
    JobOutcome,
    ScheduledJob,
    ScheduledTask,
    TaskState,
)
from sassafrasloft.scheduling.ordering import ORDERS
from sassafrasloft.scheduling.placement import PLACEMENTS, SLOW, Candidate, candidates
from sassafrasloft.scheduling.stragglers import worth_moving


@CONTROLLERS.register("scheduling", order=50)
class SchedulingController(JobKeeper):
    """Owns `board.jobs`.

    Parameters
    ----------
    order, placement, admission : str
        Names of policies.
    """

    handles = (
        SchedulerMessage,
        FollowerLost,
        RunAccepted,
        RunFinished,
        RunOverdue,
        RightGained,
        RightLost,
        TimerFired,
    )

    def __init__(
        self,
        order: str = "in_time_first",
        placement: str = "best_fit",
        admission: str = "while_in_time",
    ) -> None:
        super().__init__(admission)
        self._order = ORDERS.create(order)
        self._placement = PLACEMENTS.create(placement)
        self._wait_timer_at = -1

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Handle jobs, ends of runs and changes of the right."""
        if isinstance(event, SchedulerMessage):
            self._take_message(event.stream_id, event.message, board)
        elif isinstance(event, RunFinished):
            self._take_end(event, board)
        elif isinstance(event, RunAccepted):
            self._take_accepted(event.run, board)
        elif isinstance(event, RunOverdue):
            self._consider_move(event, board)
        elif isinstance(event, TimerFired):
            if event.name == WAIT_TIMER:
                self._wait_timer_at = -1
                board.jobs.changed = True
            elif event.name == PRUNE_TIMER:
                self._prune(board)
            elif event.name == UNFOLLOWED_TIMER:
                self._end_unfollowed(board)
        elif isinstance(event, FollowerLost):
            self._drop_follower(event, board)
        elif isinstance(event, RightLost):
            board.jobs.open.clear()
            board.jobs.inherited.clear()
            board.jobs.handed_over.clear()
            board.jobs.predecessor_known = False
        elif isinstance(event, RightGained):
            board.set_timer(PRUNE_TIMER, PRUNE_MS)

    def settle(self, board: InstanceBoard) -> None:
        """Place waiting tasks if room or the queue has changed."""
        if not board.pool.active:
            return
        if not (board.jobs.changed or board.pool.changed):
            return
        board.jobs.changed = False
        board.pool.changed = False
        self._place_all(board)

    def _job_and_task(
        self, run: Run, board: InstanceBoard
    ) -> tuple[ScheduledJob, ScheduledTask] | None:
        job = board.jobs.open.get(run.task.partition(".")[0])
        if job is None:
            return None
        task = job.tasks.get(run.task)
        if task is None or task.run is not run:
            return None
        return job, task

    def _take_accepted(self, run: Run, board: InstanceBoard) -> None:
        found = self._job_and_task(run, board)
        if found is not None:
            found[0].started = True

    def _take_end(self, event: RunFinished, board: InstanceBoard) -> None:
        board.jobs.changed = True
        found = self._job_and_task(event.run, board)
        if found is None:
            return
        job, task = found
        run = event.run
        self._trace_run(job, event, board)
        if event.end is not None:
            job.started = True
        if event.end is RunEnd.DONE:
            self._learn(job, task, run, board)
            if job.finish_task(task):
                self._end(job, JobOutcome.COMPLETED, "", board)
            return
        job.note(
            board.now,
            "run_over",
            f"{task.name} run={run.number} runner={run.runner_id} "
            f"end={event.end.value if event.end else 'not begun'}: {event.reason}",
        )
        if event.end is RunEnd.FAILED:
            task.failures += 1
            task.failed_on.add(run.runner_id)
            if task.failures >= job.route.most_attempts:
                task.run = None
                self._end(job, JobOutcome.FAILED, f"{task.name} failed", board)
                return
        job.return_task(task)

    def _trace_run(
        self, job: ScheduledJob, event: RunFinished, board: InstanceBoard
    ) -> None:
        if job.span is None:
            return
        run = event.run
        record_span(
            board,
            child_span(job.span, board),
            job.span,
            "run",
            run.sent_at,
            job=job.job_id,
            task=run.task,
            number=run.number,
            runner=run.runner_id,
            end=event.end.value if event.end else "not begun",
        )

    def _learn(
        self, job: ScheduledJob, task: ScheduledTask, run: Run, board: InstanceBoard
    ) -> None:
        if run.adopted or run.accepted_at < 0:
            return
        declared = job.request.steps[task.step].estimate_ms
        board.estimates.learn(job.route.name, declared, board.now - run.accepted_at)

    def _consider_move(self, event: RunOverdue, board: InstanceBoard) -> None:
        found = self._job_and_task(event.run, board)
        if found is None or event.run.state is not RunState.RUNNING:
            return
        job, task = found
        if worth_moving(job, task, event, board):
            board.count("runs_moved")
            task.failed_on.add(event.run.runner_id)
            job.note(
                board.now,
                "moved",
                f"{task.name} from {event.run.runner_id}, "
                f"remaining_ms={event.remaining_ms:.0f}",
            )
            board.post(StopTask(event.run))

    def _place_all(self, board: InstanceBoard) -> None:
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
                self._refuse(job, refusal, board)
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
            self._refuse(job, refusal, board)
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
                self._adopt_if_running(job, task, board)
                continue
            if board.now < task.not_before:
                continue
            offer = self._placement.choose(offers, job, task, latest_end, board.now)
            if offer is not None:
                self._start(job, task, offer, board)
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
