"""Which runners are believed to be sound.

Load patterns: runners that fail all they start, that lose starts and answer all
else, on which tasks stall, that turn slow, or that refuse work for a while.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.events import RunOverdue
from sassafrasloft.runs.orders import OrderOutcome, RunEnd
from sassafrasloft.runs.runners import Run, RunnerView, RunState

FAILING_JOBS = 2
"""Failures of different jobs in a row: a single job may be at fault itself."""
LOST_STARTS = 3
"""In a row, with other answers between them. If one order in twenty gets no answer,
two of 240 starts a second are lost in a row every 2 s, and three every 30 s."""
SLOWNESS_WEIGHT = 0.4
"""Of one sample: two slow tasks in a row show a runner that is four times slow."""
SLOWNESS_HALF_LIFE_MS = 3_000
"""Slowness is forgotten over about the length of a fault, so that the runner is
tried again."""
MOST_SLOWNESS = 10.0
REJECTION_PAUSE_MS = 100
"""After a refusal for want of health; a few round trips."""
NO_ROOM_PAUSE_MS = 20
"""After a refusal for want of room, until the list of runs has been read."""


def note_end(view: RunnerView, run: Run, end: RunEnd, board: InstanceBoard) -> None:
    """Learn from the end of a run."""
    if end is RunEnd.DONE:
        view.failing_jobs.clear()
        view.quarantines = 0
        _learn_speed(view, run, board)
    elif end is RunEnd.FAILED:
        view.failing_jobs.add(_job_of(run.task))
        if len(view.failing_jobs) >= FAILING_JOBS or view.quarantines:
            quarantine(view, "runs fail", board)


def _job_of(task: str) -> str:
    return task.partition(".")[0]


def _learn_speed(view: RunnerView, run: Run, board: InstanceBoard) -> None:
    if run.adopted or run.expected_ms <= 0 or run.accepted_at < 0:
        return
    ratio = min(MOST_SLOWNESS, (board.now - run.accepted_at) / run.expected_here_ms)
    known = current_slowness(view, board.now)
    view.slowness = known + SLOWNESS_WEIGHT * (ratio - known)
    view.slowness_at = board.now


def current_slowness(view: RunnerView, now: Milliseconds) -> float:
    """Return how slow a runner is; the belief fades with time."""
    if view.slowness <= 1.0:
        return view.slowness
    age = now - view.slowness_at
    return 1.0 + (view.slowness - 1.0) * 0.5 ** (age / SLOWNESS_HALF_LIFE_MS)


def quarantine(view: RunnerView, reason: str, board: InstanceBoard) -> None:
    """Give a runner no work for a while, then one run at a time."""
    tuning = board.tuning
    if view.unusable_until > board.now:
        return
    duration = min(
        tuning.first_quarantine_ms * 2**view.quarantines,
        tuning.longest_quarantine_ms,
    )
    view.quarantines += 1
    view.unusable_until = board.now + duration
    view.failing_jobs.clear()
    board.count("runner_quarantines")
    board.log(
        "runner_failing",
        "WARNING",
        runner=view.runner_id,
        reason=reason,
        quarantine_ms=duration,
    )


def note_rejection(
    view: RunnerView, outcome: OrderOutcome, board: InstanceBoard
) -> None:
    """Leave a runner alone for a moment after it refused a start."""
    board.count(f"starts_refused_{outcome.value}")
    if outcome is OrderOutcome.UNHEALTHY:
        view.unusable_until = max(view.unusable_until, board.now + REJECTION_PAUSE_MS)
    elif outcome is OrderOutcome.NO_ROOM:
        view.unusable_until = max(view.unusable_until, board.now + NO_ROOM_PAUSE_MS)


def note_lost_start(view: RunnerView, board: InstanceBoard) -> None:
    """Learn that a start got no answer.

    A runner may answer holds and yet lose every start. Starts that are lost together
    may all be due to the link, which the next answer shows to be well again.
    """
    if view.last_answer_at <= view.start_lost_at:
        return
    view.start_lost_at = board.now
    view.lost_starts += 1
    if view.lost_starts >= LOST_STARTS:
        quarantine(view, "starts get no answer", board)


def report_overdue(view: RunnerView, board: InstanceBoard) -> bool:
    """Post the runs that stand still or take much longer than expected.

    Returns
    -------
    bool
        Whether the progress of such a run is not known yet.
    """
    tuning = board.tuning
    unknown = False
    for run in view.runs.values():
        if run.state is not RunState.RUNNING or run.adopted:
            continue
        elapsed = board.now - run.accepted_at
        if _stands_still(run):
            quarantine(view, "tasks make no progress", board)
            slowness = current_slowness(view, board.now)
            board.post(RunOverdue(run, elapsed, float("inf"), slowness))
            continue
        expected = run.expected_here_ms
        limit = tuning.overdue_factor * expected + tuning.overdue_slack_ms
        if elapsed <= limit:
            continue
        if run.percent_read_at < run.accepted_at + expected:
            unknown = True
            continue
        remaining = _remaining_ms(run, elapsed)
        slowness = current_slowness(view, board.now)
        board.post(RunOverdue(run, elapsed, remaining, slowness))
    return unknown


def _stands_still(run: Run) -> bool:
    """Return whether the lists have shown no progress for too long."""
    since = run.percent_read_at - run.progress_at
    return run.progress_at >= 0 and since >= run.stall_ms


def _remaining_ms(run: Run, elapsed: Milliseconds) -> float:
    if run.percent_done <= 0:
        return float("inf")
    return elapsed * (100.0 - run.percent_done) / run.percent_done
