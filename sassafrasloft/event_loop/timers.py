"""Named timers on the event loop."""

import asyncio
from collections.abc import Callable

from sassafrasloft.clock import Clock, Milliseconds

_MS_IN_SECOND = 1_000


class LoopTimers:
    """At most one timer for each name; setting it again replaces it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        fire: Callable[[str], None],
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._fire = fire
        self._handles: dict[str, asyncio.TimerHandle] = {}

    def set(self, name: str, at: Milliseconds) -> None:
        """Fire a timer at a time of the clock."""
        known = self._handles.get(name)
        if known is not None:
            known.cancel()
        delay = max(0, at - self._clock.now()) / _MS_IN_SECOND
        self._handles[name] = self._loop.call_later(delay, self._due, name)

    def _due(self, name: str) -> None:
        self._handles.pop(name, None)
        self._fire(name)
