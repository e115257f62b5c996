"""Named timers on the event loop."""

import asyncio
from collections.abc import Callable

from sassafrasloft.clock import Clock, Milliseconds

_MS_IN_SECOND = 1_000


class LoopTimers:
    """Timers with unique names; setting a timer again replaces its earlier time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        on_due: Callable[[str], None],
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._on_due = on_due
        self._handles: dict[str, asyncio.TimerHandle] = {}

    def set(self, name: str, due_ms: Milliseconds) -> None:
        """Schedule a timer, or reschedule it, for a time of the clock."""
        previous = self._handles.get(name)
        if previous is not None:
            previous.cancel()
        delay = max(0, due_ms - self._clock.now()) / _MS_IN_SECOND
        self._handles[name] = self._loop.call_later(delay, self._handle_due, name)

    def _handle_due(self, name: str) -> None:
        self._handles.pop(name, None)
        self._on_due(name)
