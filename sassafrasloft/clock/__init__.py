"""Time in milliseconds, read only at the edges of a process."""

from sassafrasloft.clock.clocks import (
    BootClock,
    Clock,
    ManualClock,
    Milliseconds,
    SystemClock,
)

__all__ = ["BootClock", "Clock", "ManualClock", "Milliseconds", "SystemClock"]
