"""Jobs whose cancelling was acknowledged, and which must not start any more.

Load pattern: callers cancel jobs whose requests are still under way, on connections
that broke or at instances that are changing their scheduler. Such a copy arrives
seconds after the job was cancelled.
"""

from collections.abc import Iterable

from sassafrasloft.clock import Milliseconds

RETENTION_MS = 30_000
"""How long an id is kept: many times the 1,300 after which callers send a job again."""
MAX_JOBS = 20_000
"""Limit of ids that are kept, about two megabytes; the oldest are dropped first."""
MAX_REPORTED = 5_000
"""Limit of ids in a report to the next scheduler, the newest ones."""


class CancelledJobs:
    """Ids of jobs that callers have cancelled, oldest first."""

    def __init__(self) -> None:
        self._cancelled_at: dict[str, Milliseconds] = {}

    def __contains__(self, job_id: str) -> bool:
        """Return whether a job was cancelled."""
        return job_id in self._cancelled_at

    def add(self, job_id: str, now: Milliseconds) -> None:
        """Record that a caller has cancelled a job, whether it is known or not."""
        self._cancelled_at.setdefault(job_id, now)
        if len(self._cancelled_at) > MAX_JOBS:
            del self._cancelled_at[next(iter(self._cancelled_at))]

    def newest(self) -> Iterable[str]:
        """Return the ids that a report to the next scheduler names."""
        return list(self._cancelled_at)[-MAX_REPORTED:]

    def prune(self, now: Milliseconds) -> None:
        """Drop the ids that are older than the retention period."""
        oldest = now - RETENTION_MS
        for job_id, cancelled_at in list(self._cancelled_at.items()):
            if cancelled_at > oldest:
                break
            del self._cancelled_at[job_id]
