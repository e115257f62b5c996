"""Which jobs are late before they arrive.

Load pattern: after an outage callers send again, within a second, all that was not
answered. These jobs have missed their objective, and those of new callers have not.
"""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.scheduling.jobs import ScheduledJob
from sassafrasloft.workload import Route

SAMPLES = 400
"""Requests of a route after which older ones count half: some seconds of load."""
ENOUGH_SAMPLES = 200
"""A backlog after an outage is shorter than this for one route."""


@attrs.define
class _RouteSamples:
    seen: int = 0
    short: int = 0


class CallerPatience:
    """How long callers say that they wait, by route.

    Callers wait at least as long as the timeout of their route. One that has less
    time left has sent its job before.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteSamples] = {}

    def note(self, route: Route, patience_ms: Milliseconds) -> bool:
        """Take a request; return whether its caller has waited before.

        Where most callers wait shorter than the timeout it tells nothing.
        """
        samples = self._routes.setdefault(route.name, _RouteSamples())
        if samples.seen >= SAMPLES:
            samples.seen //= 2
            samples.short //= 2
        short = patience_ms < route.timeout_ms
        samples.seen += 1
        samples.short += short
        usual = samples.seen >= ENOUGH_SAMPLES and samples.short * 2 > samples.seen
        return short and not usual


def is_late(job: ScheduledJob, now: Milliseconds) -> bool:
    """Return whether a job that has not begun cannot be in time any more."""
    return job.repeated or now > job.late_at
