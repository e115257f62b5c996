"""Deadlines of calls, with one timer of the loop for each length of time."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from sassafrasloft.clock import Milliseconds

_MS_IN_SECOND = 1_000


@attrs.define(eq=False)
class Deadline:
    """When a call expires; `expire` is None once that does not matter any more."""

    at: float
    expire: Callable[[], None] | None

    def cancel(self) -> None:
        """Leave the call alone."""
        self.expire = None


class Deadlines:
    """Deadlines in order, by how long after their setting they are.

    Calls have few different timeouts, and nearly all end before. A timer for each
    would be entered, cancelled and removed for nothing.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._by_timeout: dict[Milliseconds, deque[Deadline]] = {}

    def set(self, timeout_ms: Milliseconds, expire: Callable[[], None]) -> Deadline:
        """Have `expire` called after a time, unless the result is cancelled."""
        deadline = Deadline(self._loop.time() + timeout_ms / _MS_IN_SECOND, expire)
        line = self._by_timeout.get(timeout_ms)
        if line is None:
            self._by_timeout[timeout_ms] = deque((deadline,))
            self._loop.call_at(deadline.at, self._pass, timeout_ms)
        else:
            line.append(deadline)
        return deadline

    def _pass(self, timeout_ms: Milliseconds) -> None:
        """Expire what is due, and wait for the next that is still in force."""
        line = self._by_timeout[timeout_ms]
        now = self._loop.time()
        try:
            while line and (line[0].expire is None or line[0].at <= now):
                expire = line.popleft().expire
                if expire is not None:
                    expire()
        finally:
            if line:
                self._loop.call_at(line[0].at, self._pass, timeout_ms)
            else:
                del self._by_timeout[timeout_ms]
