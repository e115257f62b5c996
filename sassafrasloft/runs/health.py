"""Assessment of the health of runners from the outcomes of their runs.

Load patterns: runners on which every run fails, that lose starts but reply to all
other commands, on which tasks stall, that become slow, or that refuse work for a while.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.events import RunOverdue
from sassafrasloft.runs.orders import CommandOutcome, RunEnd
from sassafrasloft.runs.runners import Run, RunnerView, RunState

QUARANTINE_FAILED_JOBS = 2
"""Consecutive failures of different jobs that quarantine a runner; failures of a single
job may be caused by the job itself."""
QUARANTINE_LOST_STARTS = 3
"""Consecutive lost starts, with other replies between them, that quarantine a runner.
If one command in twenty gets no reply, two consecutive ones of 240 starts per second
are lost every 2 s, and three every 30 s."""
SLOWNESS_SAMPLE_WEIGHT = 0.4
"""Weight of one sample in the moving average: two consecutive slow tasks reveal a
runner that is four times slower than expected."""
SLOWNESS_HALF_LIFE_MS = 3_000
"""The estimate decays in about the duration of a fault, so that the runner is tried
again."""
MAX_SLOWNESS = 10.0
UNHEALTHY_PAUSE_MS = 100
"""After a runner rejects a start as unhealthy; a few round trips."""
NO_ROOM_PAUSE_MS = 20
"""After a runner rejects a start for lack of capacity, until its list of runs has been
read."""


def record_run_end(
    view: RunnerView, run: Run, end: RunEnd, board: InstanceBoard
) -> None:
    """Update the health of a runner with the result of a run."""
    if end is RunEnd.DONE:
        view.failing_jobs.clear()
        view.quarantines = 0
        _update_slowness(view, run, board)
    elif end is RunEnd.FAILED:
        view.failing_jobs.add(_job_id(run.task))
        if len(view.failing_jobs) >= QUARANTINE_FAILED_JOBS or view.quarantines:
            quarantine(view, "runs fail", board)


def _job_id(task: str) -> str:
    return task.partition(".")[0]


def _update_slowness(view: RunnerView, run: Run, board: InstanceBoard) -> None:
    if run.adopted or run.expected_ms <= 0 or run.accepted_at < 0:
        return
    slowdown = min(
        MAX_SLOWNESS, (board.now - run.accepted_at) / run.expected_on_runner_ms
    )
    previous = current_slowness(view, board.now)
    view.slowness = previous + SLOWNESS_SAMPLE_WEIGHT * (slowdown - previous)
    view.slowness_updated_at = board.now


def current_slowness(view: RunnerView, now: Milliseconds) -> float:
    """Return the slowness of a runner, which decays towards 1 without new samples."""
    if view.slowness <= 1.0:
        return view.slowness
    age = now - view.slowness_updated_at
    return 1.0 + (view.slowness - 1.0) * 0.5 ** (age / SLOWNESS_HALF_LIFE_MS)


def quarantine(view: RunnerView, reason: str, board: InstanceBoard) -> None:
    """Exclude a runner from new runs for a while, then allow one run at a time."""
    tuning = board.tuning
    if view.excluded_until > board.now:
        return
    duration = min(
        tuning.first_quarantine_ms * 2**view.quarantines,
        tuning.longest_quarantine_ms,
    )
    view.quarantines += 1
    view.excluded_until = board.now + duration
    view.failing_jobs.clear()
    board.count("runner_quarantines")
    board.log(
        "runner_failing",
        "WARNING",
        runner=view.runner_id,
        reason=reason,
        quarantine_ms=duration,
    )


def record_rejection(
    view: RunnerView, outcome: CommandOutcome, board: InstanceBoard
) -> None:
    """Exclude a runner from new runs briefly after it rejected a start."""
    board.count(f"starts_refused_{outcome.value}")
    if outcome is CommandOutcome.UNHEALTHY:
        view.excluded_until = max(view.excluded_until, board.now + UNHEALTHY_PAUSE_MS)
    elif outcome is CommandOutcome.NO_ROOM:
        view.excluded_until = max(view.excluded_until, board.now + NO_ROOM_PAUSE_MS)


def record_lost_start(view: RunnerView, board: InstanceBoard) -> None:
    """Record a start without a reply and quarantine the runner after several.

    A runner may reply to polls and yet lose every start. Starts that are lost without
    a reply in between count once: a broken link, which the next reply shows to work
    again, may have lost all of them.
    """
    if view.last_answer_at <= view.start_lost_at:
        return
    view.start_lost_at = board.now
    view.lost_starts += 1
    if view.lost_starts >= QUARANTINE_LOST_STARTS:
        quarantine(view, "starts get no answer", board)


def post_overdue_runs(view: RunnerView, board: InstanceBoard) -> bool:
    """Post an event for each run that is stalled or takes much longer than expected.

    Returns
    -------
    bool
        Whether the current progress of a run that takes too long is unknown.
    """
    tuning = board.tuning
    progress_unknown = False
    for run in view.runs.values():
        if run.state is not RunState.RUNNING or run.adopted:
            continue
        elapsed = board.now - run.accepted_at
        if _is_stalled(run):
            quarantine(view, "tasks make no progress", board)
            slowness = current_slowness(view, board.now)
            board.post(RunOverdue(run, elapsed, float("inf"), slowness))
            continue
        expected = run.expected_on_runner_ms
        limit = tuning.overdue_factor * expected + tuning.overdue_slack_ms
        if elapsed <= limit:
            continue
        if run.progress_reported_at < run.accepted_at + expected:
            progress_unknown = True
            continue
        remaining = _remaining_ms(run, elapsed)
        slowness = current_slowness(view, board.now)
        board.post(RunOverdue(run, elapsed, remaining, slowness))
    return progress_unknown


def _is_stalled(run: Run) -> bool:
    """Return whether poll replies have shown no progress for `stall_limit_ms`."""
    stalled_for = run.progress_reported_at - run.last_progress_at
    return run.last_progress_at >= 0 and stalled_for >= run.stall_limit_ms


def _remaining_ms(run: Run, elapsed: Milliseconds) -> float:
    if run.percent_done <= 0:
        return float("inf")
    return elapsed * (100.0 - run.percent_done) / run.percent_done
