"""Simulates the links over which responses of the store reach the instances.

The bytes of a response are sent in segments. A segment waits for those before it on the
link of the store and then on the link of the instance, so that concurrent responses
share both. Nothing more is sent of a response whose call has ended.
"""

from collections.abc import Callable

import attrs

from sassafrasloft.instance.commands import CallStore
from sassafrasloft.metadata import ListedItems, StoreReply, WatchedChanges
from sassafrasloft.testing.event_queue import EventQueue

SEGMENT_BYTES = 64_000
"""Bytes of a response that are on the way at a time."""
OVERHEAD_BYTES = 200
"""Bytes of a response, or of an item in it, besides the value."""
BASE64_FACTOR = 4 / 3
BYTES_PER_MS_OF_MBIT = 125
STORE_MBIT = 1_000
SLOW_LINK_MBIT = 12.5
FAST_LINK_MBIT = 100
FAST_INSTANCES = 2
"""Instances of each zone that have a fast link."""


@attrs.define(eq=False)
class OpenStoreCall:
    """A call of the store that has neither a reply nor timed out."""

    instance: str
    command: CallStore
    is_open: bool = True
    first_byte_at: float | None = None
    last_byte_at: float | None = None

    def record_progress(self, now: float) -> None:
        """Record that a part of the response arrived."""
        if self.first_byte_at is None:
            self.first_byte_at = now
        self.last_byte_at = now

    def expires_at(self, started_at: float) -> float:
        """Return when the call times out unless more of the response arrives."""
        limits = self.command.transfer
        first_byte_due = started_at + self.command.timeout_ms
        if limits is None or self.first_byte_at is None:
            return first_byte_due
        whole_due = self.first_byte_at + limits.longest_ms
        return min(max(self.last_byte_at + limits.stall_ms, first_byte_due), whole_due)


class StoreLinks:
    """The links of the store and of each instance, in bytes per millisecond.

    Parameters
    ----------
    queue : EventQueue
    store_rate : float
    rate_of : callable
        Return the rate of the link of an instance.
    """

    def __init__(
        self, queue: EventQueue, store_rate: float, rate_of: Callable[[str], float]
    ) -> None:
        self._queue = queue
        self._store_rate = store_rate
        self._rate_of = rate_of
        self._store_free_at = 0.0
        self._free_at: dict[str, float] = {}
        self.sent_bytes = 0

    def transfer(
        self, call: OpenStoreCall, size: float, on_complete: Callable[[], None]
    ) -> None:
        """Send a response; `on_complete` is called if the call is still open then."""
        segment = min(size, SEGMENT_BYTES)
        self.sent_bytes += segment
        self._store_free_at = self._occupy(
            self._store_free_at, segment / self._store_rate
        )
        before = max(self._store_free_at, self._free_at.get(call.instance, 0.0))
        arrival = before + segment / self._rate_of(call.instance)
        self._free_at[call.instance] = arrival

        def arrive() -> None:
            if not call.is_open:
                return
            call.record_progress(self._queue.now)
            if size > segment:
                self.transfer(call, size - segment, on_complete)
            else:
                on_complete()

        self._queue.at(arrival, arrive)

    def _occupy(self, free_at: float, duration_ms: float) -> float:
        return max(free_at, self._queue.now) + duration_ms


def mixed_links(queue: EventQueue) -> StoreLinks:
    """Return links of 12.5 Mbit/s for all instances but the first two of each zone."""

    def rate_of(instance: str) -> float:
        number = int(instance.rpartition("-")[2])
        mbit = FAST_LINK_MBIT if number < FAST_INSTANCES else SLOW_LINK_MBIT
        return mbit * BYTES_PER_MS_OF_MBIT

    return StoreLinks(queue, STORE_MBIT * BYTES_PER_MS_OF_MBIT, rate_of)


def response_bytes(reply: StoreReply) -> float:
    """Return the size of a response of the store."""
    items = ()
    if isinstance(reply, ListedItems):
        items = reply.items
    elif isinstance(reply, WatchedChanges):
        items = reply.changes
    values = sum(len(one.value) * BASE64_FACTOR + OVERHEAD_BYTES for one in items)
    return OVERHEAD_BYTES + values
