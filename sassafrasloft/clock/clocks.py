"""The clocks of the system.

Durations and points in time are whole milliseconds. The decision core never
reads a clock: the I/O layer reads one and passes the time to the core.
"""

import time
from abc import ABC, abstractmethod

Milliseconds = int


class Clock(ABC):
    """A source of monotonic time in milliseconds."""

    @abstractmethod
    def now(self) -> Milliseconds:
        """Return the milliseconds since an arbitrary fixed point."""


class SystemClock(Clock):
    """The monotonic clock of the operating system."""

    def now(self) -> Milliseconds:
        """Return the monotonic time in milliseconds."""
        return time.monotonic_ns() // 1_000_000


class BootClock(Clock):
    """The time since boot, including time while the machine is suspended.

    Leases also expire while a machine is suspended, so lease holders need this clock.
    """

    def now(self) -> Milliseconds:
        """Return the time since boot in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class ManualClock(Clock):
    """A clock that advances only on request, for tests and measurements.

    Parameters
    ----------
    start : Milliseconds
        The first reading.
    """

    def __init__(self, start: Milliseconds = 0) -> None:
        self._now = start

    def now(self) -> Milliseconds:
        """Return the time that was set last."""
        return self._now

    def advance(self, duration_ms: Milliseconds) -> Milliseconds:
        """Move the clock forward and return the new time.

        Raises
        ------
        ValueError
            If `duration_ms` is negative, since monotonic time never decreases.
        """
        if duration_ms < 0:
            raise ValueError(f"duration_ms is {duration_ms}; give 0 or more")
        self._now += duration_ms
        return self._now
