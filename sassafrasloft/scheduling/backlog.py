"""Amount of waiting work and the capacity of the runners that it waits for.

Load pattern: hundreds of jobs wait while others arrive and end every millisecond.
Sums are cached from one scheduling pass to the next, so that the cost of an arrival or
a refusal does not depend on the number of waiting jobs.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs import RunnerPool

CAPACITY_MAX_AGE_MS = 20
"""Age up to which the cached capacity of the services is used; it changes only as
runners join, leave or stop answering."""


WorkByClass = dict[tuple[str, bool, int], float]
"""Waiting work in millicore-milliseconds.

The key is the service, whether the jobs are late, and their priority. Within a service
a lower key goes first."""


class Backlog:
    """Sums of the work of waiting tasks, and of the capacity for it."""

    def __init__(self) -> None:
        self._work: WorkByClass = {}
        self._capacity_by_service: dict[str, int] = {}
        self._capacity_read_at: Milliseconds = -CAPACITY_MAX_AGE_MS

    def replace(self, work: WorkByClass) -> None:
        """Replace the sums by those of a new scheduling pass."""
        self._work = work

    def add(self, service: str, late: bool, priority: int, work: float) -> None:
        """Add the waiting work of a job that arrived after the last pass."""
        key = (service, late, priority)
        self._work[key] = self._work.get(key, 0.0) + work

    def ahead(self, service: str, late: bool, priority: int) -> float:
        """Return the work that goes before a job of this class that arrives now."""
        own = (service, late, priority)
        return sum(
            work for key, work in self._work.items() if key[0] == service and key <= own
        )

    def of_service(self, service: str) -> float:
        """Return the waiting work of a service."""
        return sum(work for key, work in self._work.items() if key[0] == service)

    def total(self) -> float:
        """Return the waiting work of all services."""
        return sum(self._work.values())

    def service_capacity(
        self, service: str, pool: RunnerPool, now: Milliseconds
    ) -> int:
        """Return the total millicores of a service's runners that answer.

        Runners in evacuated zones do not count.
        """
        if now - self._capacity_read_at >= CAPACITY_MAX_AGE_MS:
            self._read_capacity(pool, now)
        return self._capacity_by_service.get(service, 0)

    def total_capacity(self, pool: RunnerPool, now: Milliseconds) -> int:
        """Return the total millicores of all services that have waiting work."""
        services = {service for service, _, _ in self._work}
        return sum(self.service_capacity(service, pool, now) for service in services)

    def _read_capacity(self, pool: RunnerPool, now: Milliseconds) -> None:
        self._capacity_read_at = now
        self._capacity_by_service.clear()
        for view in pool.runners.values():
            entry = view.entry
            if view.unanswered == 0 and entry.zone not in pool.evacuated_zones:
                known = self._capacity_by_service.get(entry.service, 0)
                self._capacity_by_service[entry.service] = (
                    known + entry.capacity.millicores
                )
