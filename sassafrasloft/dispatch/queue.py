"""The queue of waiting tasks, updated from events of the other controllers."""

from sassafrasloft.core import (
    Blackboard,
    JobAccepted,
    TaskEnded,
    TaskReturned,
)
from sassafrasloft.dispatch.learning import estimate_run_ms, record_run_time
from sassafrasloft.dispatch.orders import Order
from sassafrasloft.dispatch.quotas import team_use
from sassafrasloft.jobs import Fate, RefusalReason, ReportState, TaskKey
from sassafrasloft.state import JobRecord, SentTask, TaskState, WaitingJob
from sassafrasloft.upstreams.runners import NOT_SENT_REASON

GIVEN_UP_REASON = "max_placements"
PERMANENT_REFUSAL_REASONS = (
    ReportState.NEVER_STARTED.value,
    RefusalReason.SETTLED.value,
)
"""Reasons after which the same runner process always refuses the task."""

CAPACITY_REASONS = (RefusalReason.BUSY, RefusalReason.LEAVING)
"""Refusals for lack of capacity, which do not count towards `max_placements`.
When they counted, a task refused four times as busy failed its job at half load;
such a task is bounded by its deadline alone."""

RUNNER_FAULT_REASONS = (
    RefusalReason.WRONG_INCARNATION,
    NOT_SENT_REASON,
    ReportState.NEVER_STARTED,
)
"""Faults of the runner, not of the task. Retries use the retry budget but do not
count towards `max_placements`: after the loss of a rack, a job could reach four
failed runners within 10 ms and fail while 16 others were idle. The first two
reasons take the runner out of service, and a message lost in an unresponsive
connection is detected only after seconds, so the deadline bounds these retries."""


def live_record(board: Blackboard, submission_id: str) -> JobRecord | None:
    """Return the job if its tasks may still be sent, otherwise None."""
    record = board.jobs.running.get(submission_id)
    if record is None or record.cancelled or record.failed_kind:
        return None
    if record.transferring:
        return None
    return record


def enqueue_job(board: Blackboard, order: Order, event: JobAccepted) -> None:
    """Add the waiting tasks of an accepted job to the queue, longest first.

    The longest task determines when the job completes, so it starts first.
    """
    record = live_record(board, event.submission_id)
    if record is None or event.submission_id in board.queue.jobs:
        return
    waiting = [
        place
        for place, task in enumerate(record.tasks)
        if task.state is TaskState.WAITING
    ]
    if not waiting:
        return
    declared_ms = sum(record.tasks[place].spec.run_ms for place in waiting)
    waiting.sort(key=lambda place: -record.tasks[place].spec.run_ms)
    job = _new_job(board, record, waiting)
    use = team_use(board, job.team)
    job.task_ms = estimate_run_ms(use, declared_ms / len(waiting))
    board.queue.jobs[job.submission_id] = job
    _count_waiting(board, job, len(job.keys))
    order.put(board, job)


def drop_job(board: Blackboard, submission_id: str) -> None:
    """Remove a job and its waiting tasks from the queue."""
    job = board.queue.jobs.pop(submission_id, None)
    board.queue.held.pop(submission_id, None)
    if job is not None:
        _count_waiting(board, job, -len(job.keys))
        job.keys.clear()


def take_keys(board: Blackboard, order: Order, job: WaitingJob, count: int) -> None:
    """Remove the first `count` waiting tasks of a job after they were placed."""
    del job.keys[:count]
    _count_waiting(board, job, -count)
    order.served(board, job.team, count * job.task_ms)
    if job.keys:
        order.put(board, job)


def record_sent(board: Blackboard, job: WaitingJob, key: TaskKey) -> None:
    """Count a placed task in the usage of its team."""
    team_use(board, job.team).running += 1
    board.queue.sent[key] = SentTask(job.team, job.task_ms)


def requeue_task(board: Blackboard, order: Order, event: TaskReturned) -> None:
    """Requeue a task that did not start, or fail it after `max_placements`."""
    sent = board.queue.sent.pop(event.key, None)
    if sent is not None:
        team_use(board, sent.team).running -= 1
        order.served(board, sent.team, -sent.estimate_ms)
    record = live_record(board, event.key.submission_id)
    if record is None:
        return
    task = record.tasks[event.key.index]
    if task.state is TaskState.ENDED:
        return
    job = board.queue.jobs.get(event.key.submission_id)
    if _exceeds_max_placements(board, job, event):
        reason = f"{GIVEN_UP_REASON}:{event.reason}"
        board.metrics.add("tasks_given_up")
        board.post(TaskEnded(event.key, event.runner, Fate.NOT_RUN, "", reason))
        return
    if job is None:
        job = _new_job(board, record, [])
        job.task_ms = sent.estimate_ms if sent else float(task.spec.run_ms)
        board.queue.jobs[job.submission_id] = job
    job.keys.append(event.key)
    if event.reason not in CAPACITY_REASONS:
        job.budgeted_returns[event.key.index] = (
            job.budgeted_returns.get(event.key.index, 0) + 1
        )
    if not _is_exempt_from_limit(event):
        job.limited_returns[event.key.index] = (
            job.limited_returns.get(event.key.index, 0) + 1
        )
    job.proofs[event.key.index] = job.proofs.get(event.key.index, 0) + 1
    if event.reason in PERMANENT_REFUSAL_REASONS:
        avoided = job.excluded_runners.get(event.key.index, ())
        job.excluded_runners[event.key.index] = (*avoided, event.runner)
    _count_waiting(board, job, 1)
    order.put(board, job)


def _is_exempt_from_limit(event: TaskReturned) -> bool:
    return event.reason in CAPACITY_REASONS or event.reason in RUNNER_FAULT_REASONS


def _exceeds_max_placements(
    board: Blackboard, job: WaitingJob | None, event: TaskReturned
) -> bool:
    if _is_exempt_from_limit(event):
        return False
    before = job.limited_returns.get(event.key.index, 0) if job else 0
    return before + 1 >= board.settings.service.dispatch.max_placements


def record_task_end(board: Blackboard, order: Order, event: TaskEnded) -> None:
    """Remove an ended task from the counters and record its run time.

    The remaining tasks of the job are dropped if the job has failed.
    """
    queue = board.queue
    sent = queue.sent.pop(event.key, None)
    if sent is not None:
        use = team_use(board, sent.team)
        use.running -= 1
        if event.run_ms > 0:
            order.served(board, sent.team, event.run_ms - sent.estimate_ms)
    if event.fate is not Fate.COMPLETE:
        if live_record(board, event.key.submission_id) is None:
            drop_job(board, event.key.submission_id)
        return
    record = board.jobs.running.get(event.key.submission_id)
    if record is not None and event.run_ms > 0:
        declared_ms = record.tasks[event.key.index].spec.run_ms
        use = team_use(board, record.spec.team)
        record_run_time(queue, use, declared_ms, event.run_ms)


def _new_job(board: Blackboard, record: JobRecord, places: list[int]) -> WaitingJob:
    queue = board.queue
    queue.arrivals += 1
    keys = [TaskKey(record.submission_id, place) for place in places]
    job = WaitingJob(record.submission_id, record.spec.team, queue.arrivals, keys)
    job.arrived_ms = record.accepted_ms
    job.fits_anywhere = _fits_anywhere(board, record)
    return job


def _fits_anywhere(board: Blackboard, record: JobRecord) -> bool:
    runners = board.settings.service.runners
    if not runners:
        return False
    cores = min(one.cores for one in runners)
    memory_mb = min(one.memory_mb for one in runners)
    accelerators = min(one.accelerators for one in runners)
    return all(
        task.spec.cores <= cores
        and task.spec.memory_mb <= memory_mb
        and task.spec.accelerators <= accelerators
        for task in record.tasks
    )


def _count_waiting(board: Blackboard, job: WaitingJob, count: int) -> None:
    use = team_use(board, job.team)
    use.waiting += count
    board.queue.waiting_tasks += count
    use.waiting_work_ms = max(0.0, use.waiting_work_ms + count * job.task_ms)
    if use.waiting == 0:
        use.waiting_work_ms = 0.0
