"""Which new jobs an instance refuses itself because the scheduler is overloaded."""

from sassafrasloft.scheduling.lateness import CallerPatience
from sassafrasloft.workload import Route


class IntakeShare:
    """Admits a share of the new jobs of each route, evenly spread."""

    def __init__(self) -> None:
        self._credit: dict[str, float] = {}
        self._patience = CallerPatience()

    def admits(self, route: Route, remaining_ms: int, share: float) -> bool:
        """Take a job; return whether it may be handed in.

        A job that its caller has sent before is always handed in, since it may have
        run; new ones make room for it.
        """
        repeated = self._patience.note(route, remaining_ms)
        if share >= 1.0:
            self._credit.clear()
            return True
        credit = self._credit.get(route.name, 1.0) + share
        admitted = repeated or credit >= 1.0
        self._credit[route.name] = max(-1.0, credit - admitted)
        return admitted
