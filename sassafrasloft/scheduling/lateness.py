"""Detection of jobs that cannot meet their latency objective.

Load pattern: after an outage, callers send all unanswered jobs again within a second.
These caller retries have missed their objective already; jobs of new callers have not.
"""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.scheduling.jobs import ScheduledJob
from sassafrasloft.workload import Route

MAX_SAMPLES = 400
"""Number of requests of a route, some seconds of load, after which the counts are
halved, so that older requests lose weight."""
MIN_SAMPLES = 200
"""Number of requests before short waiting times can count as usual for a route. The
backlog of one route after an outage is smaller."""


@attrs.define
class _RouteCounts:
    """Requests of a route, and those whose caller waits less than the timeout."""

    total: int = 0
    below_timeout: int = 0


class CallerRetryDetector:
    """Detects callers that send a job again, by the time that they still wait.

    Callers wait at least as long as the timeout of their route. One with less time
    left has spent the rest on an earlier attempt.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteCounts] = {}

    def record_request(self, route: Route, patience_ms: Milliseconds) -> bool:
        """Record a request; return whether it is a caller retry.

        If most callers of a route wait less than its timeout, a short waiting time
        does not indicate a retry.

        Parameters
        ----------
        route : Route
        patience_ms : int
            How long the caller still waits, from the arrival of its request.
        """
        counts = self._routes.setdefault(route.name, _RouteCounts())
        if counts.total >= MAX_SAMPLES:
            counts.total //= 2
            counts.below_timeout //= 2
        below_timeout = patience_ms < route.timeout_ms
        counts.total += 1
        counts.below_timeout += below_timeout
        is_common = (
            counts.total >= MIN_SAMPLES and counts.below_timeout * 2 > counts.total
        )
        return below_timeout and not is_common


def is_late(job: ScheduledJob, now: Milliseconds) -> bool:
    """Return whether a job that has not started can no longer be on time."""
    return job.is_caller_retry or now > job.latest_on_time_start
