"""Refusal of new jobs at an instance while the scheduler is overloaded."""

from sassafrasloft.workload import Route


class IntakeFilter:
    """Admits a share of the new jobs of each route, evenly spread over the jobs."""

    def __init__(self) -> None:
        self._credit: dict[str, float] = {}

    def admits(self, route: Route, is_caller_retry: bool, share: float) -> bool:
        """Return whether a job that has arrived may be submitted.

        A job that its caller has sent before is always submitted, since it may have
        run; fewer new jobs of its route are admitted in return.
        """
        if share >= 1.0:
            self._credit.clear()
            return True
        credit = self._credit.get(route.name, 1.0) + share
        admitted = is_caller_retry or credit >= 1.0
        self._credit[route.name] = max(-1.0, credit - admitted)
        return admitted
