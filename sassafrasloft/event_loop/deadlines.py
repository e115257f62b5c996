"""Deadlines of calls, with one event loop timer for each distinct timeout."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from sassafrasloft.clock import Milliseconds

_MS_IN_SECOND = 1_000


@attrs.define(eq=False)
class Deadline:
    """The time when a call expires; `on_expiry` is None once it is cancelled."""

    due_s: float
    on_expiry: Callable[[], None] | None

    def cancel(self) -> None:
        """Cancel the deadline: its callback is not called."""
        self.on_expiry = None


class Deadlines:
    """Deadlines, in one queue in order of expiry for each distinct timeout.

    Calls have few distinct timeouts, and nearly all calls end before theirs. One loop
    timer per call would nearly always be scheduled and cancelled without effect.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._queues_by_timeout: dict[Milliseconds, deque[Deadline]] = {}

    def set(self, timeout_ms: Milliseconds, on_expiry: Callable[[], None]) -> Deadline:
        """Call `on_expiry` after the timeout unless the deadline is cancelled."""
        deadline = Deadline(self._loop.time() + timeout_ms / _MS_IN_SECOND, on_expiry)
        queue = self._queues_by_timeout.get(timeout_ms)
        if queue is None:
            self._queues_by_timeout[timeout_ms] = deque((deadline,))
            self._loop.call_at(deadline.due_s, self._expire_due, timeout_ms)
        else:
            queue.append(deadline)
        return deadline

    def _expire_due(self, timeout_ms: Milliseconds) -> None:
        """Expire the deadlines that are due and schedule the next active one."""
        queue = self._queues_by_timeout[timeout_ms]
        now = self._loop.time()
        try:
            while queue and (queue[0].on_expiry is None or queue[0].due_s <= now):
                on_expiry = queue.popleft().on_expiry
                if on_expiry is not None:
                    on_expiry()
        finally:
            if queue:
                self._loop.call_at(queue[0].due_s, self._expire_due, timeout_ms)
            else:
                del self._queues_by_timeout[timeout_ms]
