"""What becomes of the tasks of a job: sent, returned, ended, too late."""

from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    IncarnationFenced,
    TaskEnded,
    TaskReturned,
    TaskSent,
    TimerFired,
    register_controller,
)
from sassafrasloft.invariants import Invariant
from sassafrasloft.jobs import Fate, RefusalReason, TaskKey, TaskOutcome
from sassafrasloft.state import JobRecord, TaskRecord, TaskState
from sassafrasloft.submissions.completion import (
    could_have_started,
    end_task,
    finish_if_ended,
    stop_job,
)
from sassafrasloft.submissions.ids import parse_submission_id
from sassafrasloft.submissions.records import was_answered_not_run
from sassafrasloft.submissions.refusals import FailureKind

DUE_TIMER = "submissions.due/"


@register_controller("submissions.tasks", 31)
class TaskController(Controller):
    """Keeps task records and answers a job once all of its tasks are ended.

    Late, doubled and crossed reports change nothing: a report counts only for
    a task that is in flight on the runner that it comes from.
    """

    handles = (TaskSent, TaskReturned, TaskEnded, TimerFired)

    def react(self, event: Event, board: Blackboard) -> None:
        """Change the record of the task or job that the event is about."""
        match event:
            case TaskSent():
                self._sent(event, board)
            case TaskReturned():
                self._returned(event, board)
            case TaskEnded():
                self._ended(event, board)
            case TimerFired() if event.name.startswith(DUE_TIMER):
                self._due(event.name.removeprefix(DUE_TIMER), board)

    def _sent(self, event: TaskSent, board: Blackboard) -> None:
        found = _find(board, event.key)
        if not _check_sent(board, event.key, found) or found is None:
            return
        record, task = found
        record.waiting -= 1
        record.in_flight += 1
        task.state = TaskState.SENT
        task.placements += 1
        task.runner = event.runner
        task.delivery_id = event.delivery_id
        task.sent_ms = board.now

    def _returned(self, event: TaskReturned, board: Blackboard) -> None:
        found = _find(board, event.key)
        if found is None or not _is_current(found[1], event.runner):
            board.metrics.add("reports_late")
            return
        record, task = found
        if event.reason == RefusalReason.FENCED:
            _report_fence(board, event.key)
        task.state = TaskState.WAITING
        task.returned += 1
        record.in_flight -= 1
        record.waiting += 1
        if record.failed_kind:
            outcome = TaskOutcome(
                task.spec.name, Fate.NOT_RUN, reason=record.failed_kind
            )
            end_task(record, task, outcome)
        elif board.now >= record.due_ms:
            _stop_overdue(board, record)
        finish_if_ended(board, record)

    def _ended(self, event: TaskEnded, board: Blackboard) -> None:
        found = _find(board, event.key)
        if found is None or not _may_end(found[1], event):
            board.metrics.add("reports_late")
            return
        record, task = found
        complete = event.fate is Fate.COMPLETE
        outcome = TaskOutcome(
            task.spec.name,
            event.fate,
            event.result if complete else "",
            "" if complete else event.reason,
        )
        end_task(record, task, outcome)
        if not complete:
            kind = FailureKind.TASK_FAILED
            if event.fate is Fate.NOT_RUN:
                kind = FailureKind.TASK_NOT_STARTED
            detail = f"task {task.spec.name!r} on {event.runner or 'no runner'}: "
            stop_job(board, record, kind, detail + (event.reason or "no reason given"))
        finish_if_ended(board, record)

    def _due(self, submission_id: str, board: Blackboard) -> None:
        record = board.jobs.running.get(submission_id)
        if record is None or record.handed_over or not record.waiting:
            return
        _stop_overdue(board, record)
        finish_if_ended(board, record)


def _report_fence(board: Blackboard, key: TaskKey) -> None:
    """Say that the own incarnation is fenced, if the task's id names it."""
    own = board.identity.incarnation
    parsed = parse_submission_id(key.submission_id).value_or(None)
    if parsed is not None and parsed.incarnation == own:
        board.post(IncarnationFenced(own))


def _stop_overdue(board: Blackboard, record: JobRecord) -> None:
    detail = f"{record.waiting} tasks had not started at the deadline"
    stop_job(board, record, FailureKind.DEADLINE_EXCEEDED, detail)


def _find(board: Blackboard, key: TaskKey) -> tuple[JobRecord, TaskRecord] | None:
    record = board.jobs.running.get(key.submission_id)
    if record is None or not 0 <= key.index < len(record.tasks):
        return None
    return record, record.tasks[key.index]


def _is_current(task: TaskRecord, runner: str) -> bool:
    return task.state is TaskState.SENT and task.runner == runner


def _may_end(task: TaskRecord, event: TaskEnded) -> bool:
    if task.state is TaskState.WAITING:
        # Dispatch gives up a task that waited too long or was refused too often.
        return event.fate is Fate.NOT_RUN and event.runner in ("", task.runner)
    return _is_current(task, event.runner)


def _check_sent(
    board: Blackboard, key: TaskKey, found: tuple[JobRecord, TaskRecord] | None
) -> bool:
    """Check the promises about the start of a task that was just sent."""
    state = found[1].state.value if found else "unknown"
    may_start = (
        found is not None
        and found[1].state is TaskState.WAITING
        and not found[0].transferring
    )
    holds = board.auditor.check(
        Invariant.NOT_RUN_IS_TRUE,
        # A job that runs was checked when it was accepted.
        found is not None or not was_answered_not_run(board, key.submission_id),
        f"{key} was sent after its job was answered not run",
    )
    holds &= board.auditor.check(
        Invariant.NON_IDEMPOTENT_RUNS_ONCE,
        found is None or found[1].spec.idempotent or not could_have_started(found[1]),
        f"{key} is not idempotent and was sent while an earlier start is possible",
    )
    holds &= board.auditor.check(
        Invariant.STARTS_AT_MOST_ONCE,
        may_start,
        f"{key} was sent although it is {state} here",
    )
    return holds
