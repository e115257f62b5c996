"""Takes jobs and the ends of their runs, and lets waiting tasks be placed."""

from sassafrasloft.blackboard import Controller, Event, TimerFired
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
)
from sassafrasloft.instance.tracing import child_span, record_span
from sassafrasloft.runs import Run, RunEnd, RunState
from sassafrasloft.scheduling.admission import ADMISSIONS
from sassafrasloft.scheduling.job_keeping import (
    ABANDONED_TIMER,
    PRUNE_MS,
    PRUNE_TIMER,
    UNFOLLOWED_TIMER,
    WAIT_TIMER,
    JobKeeper,
)
from sassafrasloft.scheduling.jobs import JobOutcome, ScheduledJob, ScheduledTask
from sassafrasloft.scheduling.ordering import ORDERS
from sassafrasloft.scheduling.placement import PLACEMENTS
from sassafrasloft.scheduling.placing import TaskPlacer
from sassafrasloft.scheduling.stragglers import worth_moving

PASS_TIMER = "scheduling.pass"
LOOKS_A_MS = 80
"""Jobs and runners that one pass may look at for each millisecond until the next one:
a look takes 1 to 5 microseconds, so that passes take less than half of a processor."""
LONGEST_PAUSE_MS = 10
"""Between passes: a sixth of the time in which the shortest jobs may wait."""


@CONTROLLERS.register("scheduling", order=50)
class SchedulingController(Controller):
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
        admissions = ADMISSIONS.create(admission)
        self._keeper = JobKeeper(admissions)
        self._placer = TaskPlacer(
            self._keeper,
            admissions,
            ORDERS.create(order),
            PLACEMENTS.create(placement),
        )
        self._next_pass_at: Milliseconds = 0
        self._pass_timer_set = False

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Handle jobs, ends of runs and changes of the right."""
        if isinstance(event, SchedulerMessage):
            self._keeper.take_message(event.stream_id, event.message, board)
        elif isinstance(event, RunFinished):
            self._take_end(event, board)
        elif isinstance(event, RunAccepted):
            self._take_accepted(event.run, board)
        elif isinstance(event, RunOverdue):
            self._consider_move(event, board)
        elif isinstance(event, TimerFired):
            if event.name == WAIT_TIMER:
                self._placer.note_timer()
                board.jobs.changed = True
            elif event.name == PASS_TIMER:
                self._pass_timer_set = False
            elif event.name == PRUNE_TIMER:
                self._keeper.prune(board)
            elif event.name == UNFOLLOWED_TIMER:
                self._keeper.end_unfollowed(board)
            elif event.name == ABANDONED_TIMER:
                self._keeper.end_abandoned(board)
        elif isinstance(event, FollowerLost):
            self._keeper.drop_follower(event, board)
        elif isinstance(event, RightLost):
            board.jobs.forget()
            self._next_pass_at = 0
        elif isinstance(event, RightGained):
            board.set_timer(PRUNE_TIMER, PRUNE_MS)

    def settle(self, board: InstanceBoard) -> None:
        """Place waiting tasks if room or the queue has changed."""
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
        looks = self._placer.place_all(board)
        pause = min(LONGEST_PAUSE_MS, looks // LOOKS_A_MS)
        self._next_pass_at = board.now + pause

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
        if found is None:
            return
        job, task = found
        job.started = True
        view = board.pool.runners.get(run.runner_id)
        if view is not None:
            rack = job.request.steps[task.step].preferred_rack
            run.away_factor = board.pool.factor_on(view, rack)

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
                self._keeper.end(job, JobOutcome.COMPLETED, "", board)
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
                self._keeper.end(job, JobOutcome.FAILED, f"{task.name} failed", board)
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
        measured = (board.now - run.accepted_at) / run.away_factor
        board.estimates.learn(job.route.name, declared, measured)

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
