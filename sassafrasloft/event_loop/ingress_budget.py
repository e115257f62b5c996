"""Which connections of clients are given up when memory or descriptors run short.

Load pattern: clients that don't keep to any limit open many connections and leave
requests unfinished on them. A process that held all of them would run out of memory or
of descriptors, whatever the limits of a single request are.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Generic, TypeVar

import attrs

_BYTES_PER_MB = 1_048_576
MEMORY_DIVISOR = 16
"""The share of the machine's memory that requests may take which are still arriving or
not answered. Most of the rest is the process's own and, at the scheduler, its jobs."""
MIN_HELD_BYTES = 4 * _BYTES_PER_MB
DEFAULT_MEMORY_MB = 160
RESERVED_DESCRIPTORS = 200
"""Descriptors of a process that are for files."""
DESCRIPTOR_DIVISOR = 2
"""Half of the others are for clients; the rest is for runners, instances and the
store."""
MIN_CONNECTIONS = 64
DEFAULT_DESCRIPTORS = 1_024
RELEASED_SHARE = 0.125
"""The share of the budget that is released at once, so that the search for the largest
holders is rare."""
Connection = TypeVar("Connection")


@attrs.frozen
class IngressLimits:
    """Limits of all requests and connections of clients in a process.

    Parameters
    ----------
    held_bytes : int
        Memory of requests that are arriving, wait for their turn or are not answered.
    connections : int
    """

    held_bytes: int
    connections: int

    @classmethod
    def of_machine(cls, memory_mb: int, descriptors: int) -> "IngressLimits":
        """Return the limits for a machine; 0 stands for an unknown size."""
        memory = (memory_mb or DEFAULT_MEMORY_MB) * _BYTES_PER_MB
        free = (descriptors or DEFAULT_DESCRIPTORS) - RESERVED_DESCRIPTORS
        return cls(
            max(MIN_HELD_BYTES, memory // MEMORY_DIVISOR),
            max(MIN_CONNECTIONS, free // DESCRIPTOR_DIVISOR),
        )


@attrs.define
class _Holding:
    """Memory of one connection's requests; only unread ones can be released."""

    unread: int = 0
    unanswered: int = 0


class IngressBudget(Generic[Connection]):
    """Memory that the requests of each connection take.

    Parameters
    ----------
    limits : IngressLimits
    """

    def __init__(self, limits: IngressLimits) -> None:
        self.limits = limits
        self.refusals: Counter[str] = Counter()
        """Requests and connections that were given up, by cause."""
        self._holdings: dict[Connection, _Holding] = {}
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """The memory that all requests take."""
        return self._held_bytes

    def hold(
        self, connection: Connection, unread: int, unanswered: int
    ) -> list[Connection]:
        """Record what a connection holds; return the connections to give up.

        These are the ones with most unread bytes. An ordinary request is complete with
        its first or second read, and is never among them.
        """
        holding = self._holdings.get(connection)
        if holding is None:
            if not unread and not unanswered:
                return []
            holding = self._holdings[connection] = _Holding()
        self._held_bytes += unread + unanswered - holding.unread - holding.unanswered
        holding.unread, holding.unanswered = unread, unanswered
        if not unread and not unanswered:
            del self._holdings[connection]
        if self._held_bytes <= self.limits.held_bytes:
            return []
        return self._largest_unread()

    def release(self, connection: Connection) -> None:
        """Forget a connection."""
        self.hold(connection, 0, 0)

    def has_room_for(self, size: int) -> bool:
        """Return whether a complete request may wait for its answer."""
        return self._held_bytes + size <= self.limits.held_bytes

    def _largest_unread(self) -> list[Connection]:
        target = self.limits.held_bytes * (1 - RELEASED_SHARE)
        excess = self._held_bytes - target
        ordered = sorted(
            (one for one in self._holdings.items() if one[1].unread),
            key=lambda one: one[1].unread,
            reverse=True,
        )
        chosen = []
        for connection, holding in ordered:
            if excess <= 0:
                break
            excess -= holding.unread
            chosen.append(connection)
        return chosen


def connection_to_close(
    idle: Iterable[Connection], unfinished: Iterable[Connection]
) -> Connection | None:
    """Return the connection that makes room for a new one.

    Parameters
    ----------
    idle : iterable
        Connections without a request, oldest first.
    unfinished : iterable
        Connections on which a request is arriving, oldest first.

    Returns
    -------
    object or None
        None if a request is being answered on every connection.
    """
    for connection in idle:
        return connection
    for connection in unfinished:
        return connection
    return None
