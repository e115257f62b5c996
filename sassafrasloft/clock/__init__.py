"""Clocks in milliseconds, read only by the I/O layer of a process."""

from sassafrasloft.clock.clocks import (
    BootClock,
    Clock,
    ManualClock,
    Milliseconds,
    SystemClock,
)

__all__ = ["BootClock", "Clock", "ManualClock", "Milliseconds", "SystemClock"]
