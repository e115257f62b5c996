"""Takes jobs and the ends of their runs, and lets waiting tasks be placed."""

from sassafrasloft.blackboard import Controller, Event, TimerFired
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
        self._placer.place_all(board)

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
