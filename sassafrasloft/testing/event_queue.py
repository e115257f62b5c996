"""Queue of scheduled actions with simulated time."""

import heapq
from collections.abc import Callable

Action = Callable[[], None]


class EventQueue:
    """Runs actions in order of their times, and of scheduling for equal times.

    The simulated time advances from one action to the next.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._entries: list[tuple[float, int, Action]] = []
        self._entered = 0

    @property
    def now(self) -> float:
        """The simulated time in milliseconds."""
        return self._now

    def at(self, time_ms: float, action: Action) -> None:
        """Schedule an action for a time; a time in the past means now."""
        self._entered += 1
        entry = (max(time_ms, self._now), self._entered, action)
        heapq.heappush(self._entries, entry)

    def after(self, delay_ms: float, action: Action) -> None:
        """Schedule an action after a delay."""
        self.at(self._now + delay_ms, action)

    def run_until(self, end_ms: float) -> None:
        """Run all actions due by a time and advance the simulated time to it."""
        while self._entries and self._entries[0][0] <= end_ms:
            self._now, _, action = heapq.heappop(self._entries)
            action()
        self._now = max(self._now, end_ms)
