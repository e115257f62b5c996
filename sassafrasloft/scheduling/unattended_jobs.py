"""Jobs whose callers or instances are gone, and may come back.

Load pattern: connections break or instances stand still while their jobs are at work.
A job that is cancelled at once has to start again when its caller sends it again.
"""

from collections.abc import Callable

from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.events import FollowerLost
from sassafrasloft.scheduling.jobs import JobOutcome, ScheduledJob

NO_SUBSCRIBERS_TIMER = "scheduling.unfollowed"
ABANDONED_TIMER = "scheduling.abandoned"
CHECK_PERIOD_MS = 50
"""Period of the checks for jobs whose caller or instance is gone."""
EndJob = Callable[[ScheduledJob, JobOutcome, str, InstanceBoard], None]


class UnattendedJobs:
    """Keeps such jobs for a while, and cancels those that nobody sends again.

    Parameters
    ----------
    end : callable
        Ends a job with an outcome and a reason.
    """

    def __init__(self, end: EndJob) -> None:
        self._end = end

    def mark_abandoned(self, job: ScheduledJob, board: InstanceBoard) -> None:
        """Keep a job whose caller was disconnected, as the caller may send it again."""
        timer_is_set = any(one.abandoned_at >= 0 for one in board.jobs.open.values())
        if job.abandoned_at < 0:
            job.abandoned_at = board.now
            job.record_decision(board.now, "abandoned")
        if not timer_is_set:
            board.set_timer(ABANDONED_TIMER, CHECK_PERIOD_MS)

    def cancel_abandoned(self, board: InstanceBoard) -> None:
        """Cancel abandoned jobs that no caller has sent again.

        This happens before a disconnected caller may submit its job to another
        scheduler.
        """
        latest = board.now - board.tuning.return_ms
        waiting = [one for one in board.jobs.open.values() if one.abandoned_at >= 0]
        for job in waiting:
            if job.abandoned_at <= latest:
                self._end(job, JobOutcome.CANCELLED, "its caller is gone", board)
        if waiting:
            board.set_timer(ABANDONED_TIMER, CHECK_PERIOD_MS)

    def remove_subscriber(self, event: FollowerLost, board: InstanceBoard) -> None:
        """Keep the jobs of a lost instance for a while, until it submits them again.

        A stream that was reset may be opened again at once, and an instance that is
        silent may only have stood still. It may also have submitted its jobs to another
        scheduler, which starts them no earlier than they are cancelled here.
        """
        tuning = board.tuning
        grace_ms = tuning.silent_grace_ms if event.silent else tuning.silence_ms
        for job in board.jobs.open.values():
            if event.stream_id not in job.subscribers:
                continue
            job.subscribers.discard(event.stream_id)
            if not job.subscribers:
                job.resubmission_due_at = board.now + grace_ms
        self.cancel_without_subscribers(board)

    def cancel_without_subscribers(self, board: InstanceBoard) -> None:
        """Cancel jobs that no instance has submitted again in time."""
        next_due_at = -1
        for job in list(board.jobs.open.values()):
            due_at = job.resubmission_due_at
            if job.subscribers or due_at < 0:
                continue
            if due_at <= board.now:
                self._end(job, JobOutcome.CANCELLED, "its instance is gone", board)
            elif next_due_at < 0 or due_at < next_due_at:
                next_due_at = due_at
        if next_due_at >= 0:
            board.set_timer(NO_SUBSCRIBERS_TIMER, next_due_at - board.now)
