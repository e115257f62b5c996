"""Shares the crashes under tasks with all instances.

The scheduler counts them. A task must not start over with a new scheduler, nor when its
caller submits the job again elsewhere, so each instance keeps the counts.
"""

from sassafrasloft.blackboard import Controller, Event, Started, TimerFired
from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import SendMessage
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    CrashCountsReceived,
    FollowerAccepted,
    RunnerCrashed,
)
from sassafrasloft.instance.messages import CrashCounts

EXPIRY_TIMER = "runs.crash_expiry"
EXPIRY_PERIOD_MS: Milliseconds = 5_000
MAX_REPORTED_COUNTS = 1_000
"""Limit of the counts for a new follower, the latest ones: 40 KB, which delay the
heartbeats behind them by 25 ms on a link of 12.5 Mbit/s."""


@CONTROLLERS.register("crash_reports", order=45)
class CrashReportController(Controller):
    """Sends counts to followers, and merges those of the scheduler."""

    handles = (
        Started,
        RunnerCrashed,
        FollowerAccepted,
        CrashCountsReceived,
        TimerFired,
    )

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Handle crashes, new followers and counts of the scheduler."""
        if isinstance(event, RunnerCrashed):
            for stream in board.leadership.streams.values():
                if stream.follower and stream.accepts_crash_counts:
                    message = CrashCounts(event.counts)
                    board.emit(SendMessage(stream.stream_id, message))
        elif isinstance(event, FollowerAccepted):
            counts = board.crashes.counts[-MAX_REPORTED_COUNTS:]
            if counts:
                board.emit(SendMessage(event.stream_id, CrashCounts(counts)))
        elif isinstance(event, CrashCountsReceived):
            board.crashes.merge(event.counts, board.now)
        elif isinstance(event, Started) or event.name == EXPIRY_TIMER:
            board.crashes.forget_expired(board.now)
            board.set_timer(EXPIRY_TIMER, EXPIRY_PERIOD_MS)
