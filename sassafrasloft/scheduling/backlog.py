"""How much work waits, and the room that it waits for.

Load pattern: hundreds of jobs wait while others arrive and end every millisecond.
Sums are kept from one pass over the waiting jobs to the next, so that an arrival or a
refusal costs the same however many jobs wait.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs import RunnerPool

ROOM_AGE_MS = 20
"""Age up to which the sum over all runners is used again: it changes as runners come,
go or fall silent."""


WorkByClass = dict[tuple[str, bool, int], float]
"""Millicore-milliseconds by service, whether the jobs are late, and priority."""


class Backlog:
    """Work of tasks that wait for room."""

    def __init__(self) -> None:
        self._work: WorkByClass = {}
        self._room: dict[str, int] = {}
        self._room_read_at: Milliseconds = -ROOM_AGE_MS

    def replace(self, work: WorkByClass) -> None:
        """Take the sums of a new pass."""
        self._work = work

    def add(self, service: str, late: bool, priority: int, work: float) -> None:
        """Add the waiting work of a job that has arrived since."""
        key = (service, late, priority)
        self._work[key] = self._work.get(key, 0.0) + work

    def ahead(self, service: str, late: bool, priority: int) -> float:
        """Return the work that gets room before a job that arrives now."""
        own = (service, late, priority)
        return sum(
            work for key, work in self._work.items() if key[0] == service and key <= own
        )

    def total(self) -> float:
        """Return the waiting work of all services."""
        return sum(self._work.values())

    def room(self, service: str, pool: RunnerPool, now: Milliseconds) -> int:
        """Return the millicores of a service's runners that answer."""
        if now - self._room_read_at >= ROOM_AGE_MS:
            self._read_room(pool, now)
        return self._room.get(service, 0)

    def total_room(self, pool: RunnerPool, now: Milliseconds) -> int:
        """Return the millicores of the runners of services for which work waits."""
        services = {service for service, _, _ in self._work}
        return sum(self.room(service, pool, now) for service in services)

    def _read_room(self, pool: RunnerPool, now: Milliseconds) -> None:
        self._room_read_at = now
        self._room.clear()
        for view in pool.runners.values():
            if view.unanswered == 0:
                entry = view.entry
                known = self._room.get(entry.service, 0)
                self._room[entry.service] = known + entry.capacity.millicores
