"""The controller of the scheduler: dispatches events and starts scheduling passes."""

from sassafrasloft.blackboard import Controller, Event, TimerFired
from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    EarlierRunDone,
    FollowerLost,
    LeadershipGained,
    LeadershipLost,
    MessageForScheduler,
    RunAccepted,
    RunFinished,
    RunOverdue,
    RunStopRequested,
)
from sassafrasloft.instance.tracing import child_span, record_span
from sassafrasloft.runs import Run, RunEnd, RunState
from sassafrasloft.scheduling.admission import ADMISSIONS
from sassafrasloft.scheduling.job_lifecycle import (
    PRUNE_PERIOD_MS,
    PRUNE_TIMER,
    REFUSAL_TIMER,
    JobLifecycle,
)
from sassafrasloft.scheduling.jobs import JobOutcome, ScheduledJob, ScheduledTask
from sassafrasloft.scheduling.ordering import ORDERS
from sassafrasloft.scheduling.placement import PLACEMENTS
from sassafrasloft.scheduling.stragglers import should_move
from sassafrasloft.scheduling.task_placer import TaskPlacer
from sassafrasloft.scheduling.unattended_jobs import (
    ABANDONED_TIMER,
    NO_SUBSCRIBERS_TIMER,
)

PASS_TIMER = "scheduling.pass"
EXAMINED_PER_MS = 80
"""Number of jobs and runners examined in a pass that delays the next pass by 1 ms.
Examining one takes 1 to 5 microseconds, so passes use less than half of a processor."""
MAX_PASS_DELAY_MS = 10
"""Upper bound of the delay between two passes: a sixth of the time that the shortest
jobs can wait without being late."""


@CONTROLLERS.register("scheduling", order=50)
class SchedulingController(Controller):
    """Maintains `board.jobs` while this instance is the scheduler.

    Parameters
    ----------
    order, placement, admission : str
        Registered names of the policies for the order of waiting jobs, the choice of
        a runner and the admission of jobs.
    """

    handles = (
        EarlierRunDone,
        MessageForScheduler,
        FollowerLost,
        RunAccepted,
        RunFinished,
        RunOverdue,
        LeadershipGained,
        LeadershipLost,
        TimerFired,
    )

    def __init__(
        self,
        order: str = "in_time_first",
        placement: str = "expected_end",
        admission: str = "while_in_time",
    ) -> None:
        admissions = ADMISSIONS.create(admission)
        self._lifecycle = JobLifecycle(admissions)
        self._placer = TaskPlacer(
            self._lifecycle,
            admissions,
            ORDERS.create(order),
            PLACEMENTS.create(placement),
        )
        self._next_pass_at: Milliseconds = 0
        self._pass_timer_set = False

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Handle messages about jobs, run events, timers and changes of the right."""
        if isinstance(event, MessageForScheduler):
            self._lifecycle.handle_message(event.stream_id, event.message, board)
        elif isinstance(event, RunFinished):
            self._handle_finished_run(event, board)
        elif isinstance(event, EarlierRunDone):
            self._lifecycle.record_earlier_end(event.task, board)
        elif isinstance(event, RunAccepted):
            self._handle_accepted_run(event.run, board)
        elif isinstance(event, RunOverdue):
            self._handle_overdue_run(event, board)
        elif isinstance(event, TimerFired):
            if event.name == REFUSAL_TIMER:
                self._placer.handle_refusal_timer()
                board.jobs.changed = True
            elif event.name == PASS_TIMER:
                self._pass_timer_set = False
            elif event.name == PRUNE_TIMER:
                self._lifecycle.prune_answers(board)
            elif event.name == NO_SUBSCRIBERS_TIMER:
                self._lifecycle.unattended.cancel_without_subscribers(board)
            elif event.name == ABANDONED_TIMER:
                self._lifecycle.unattended.cancel_abandoned(board)
        elif isinstance(event, FollowerLost):
            self._lifecycle.unattended.remove_subscriber(event, board)
        elif isinstance(event, LeadershipLost):
            board.jobs.discard_all()
            self._next_pass_at = 0
        elif isinstance(event, LeadershipGained):
            board.set_timer(PRUNE_TIMER, PRUNE_PERIOD_MS)

    def settle(self, board: InstanceBoard) -> None:
        """Run a scheduling pass if free capacity or the waiting jobs have changed.

        A pass that would come too early after an expensive one is put off by a timer.
        """
        if not board.pool.active:
            return
        if not (board.jobs.changed or board.pool.changed):
            return
        if board.now < self._next_pass_at:
            if not self._pass_timer_set:
                self._pass_timer_set = True
                board.set_timer(PASS_TIMER, self._next_pass_at - board.now)
            return
        board.jobs.changed = False
        board.pool.changed = False
        examined = self._placer.place_all(board)
        delay = min(MAX_PASS_DELAY_MS, examined // EXAMINED_PER_MS)
        self._next_pass_at = board.now + delay

    def _find_job_and_task(
        self, run: Run, board: InstanceBoard
    ) -> tuple[ScheduledJob, ScheduledTask] | None:
        job = board.jobs.open.get(run.task.partition(".")[0])
        if job is None:
            return None
        task = job.tasks.get(run.task)
        if task is None or task.run is not run:
            return None
        return job, task

    def _handle_accepted_run(self, run: Run, board: InstanceBoard) -> None:
        job_and_task = self._find_job_and_task(run, board)
        if job_and_task is None:
            return
        job, task = job_and_task
        job.may_have_started = True
        view = board.pool.runners.get(run.runner_id)
        if view is not None:
            rack = job.request.steps[task.step].preferred_rack
            run.away_factor = board.pool.factor_on(view, rack)

    def _handle_finished_run(self, event: RunFinished, board: InstanceBoard) -> None:
        board.jobs.changed = True
        job_and_task = self._find_job_and_task(event.run, board)
        if job_and_task is None:
            if event.run.adopted and event.end is RunEnd.DONE:
                self._lifecycle.record_earlier_end(event.run.task, board)
            return
        job, task = job_and_task
        run = event.run
        self._record_run_span(job, event, board)
        if event.end is not None:
            job.may_have_started = True
        if event.end is RunEnd.DONE:
            self._record_duration(job, task, run, board)
            if job.finish_task(task):
                self._lifecycle.end(job, JobOutcome.COMPLETED, "", board)
            return
        job.record_decision(
            board.now,
            "run_over",
            f"{task.name} run={run.number} runner={run.runner_id} "
            f"end={event.end.value if event.end else 'not begun'}: {event.reason}",
        )
        if event.end is RunEnd.FAILED:
            task.failures += 1
            task.failed_on.add(run.runner_id)
            if task.failures >= job.route.max_attempts:
                task.run = None
                self._lifecycle.end(
                    job, JobOutcome.FAILED, f"{task.name} failed", board
                )
                return
        job.return_task(task)

    def _record_run_span(
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

    def _record_duration(
        self, job: ScheduledJob, task: ScheduledTask, run: Run, board: InstanceBoard
    ) -> None:
        if run.adopted or run.accepted_at < 0:
            return
        declared_ms = job.request.steps[task.step].estimate_ms
        measured_ms = (board.now - run.accepted_at) / run.away_factor
        board.estimates.record(job.route.name, declared_ms, measured_ms)

    def _handle_overdue_run(self, event: RunOverdue, board: InstanceBoard) -> None:
        job_and_task = self._find_job_and_task(event.run, board)
        if job_and_task is None or event.run.state is not RunState.RUNNING:
            return
        job, task = job_and_task
        if should_move(job, task, event, board):
            board.count("runs_moved")
            task.failed_on.add(event.run.runner_id)
            job.record_decision(
                board.now,
                "moved",
                f"{task.name} from {event.run.runner_id}, "
                f"remaining_ms={event.remaining_ms:.0f}",
            )
            board.post(RunStopRequested(event.run))
