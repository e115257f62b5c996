"""Load monitor: tells a slow machine from an overload.

A scheduler falls behind either because its machine has become slow, or because there
are more jobs than any scheduler can handle. In the first case another instance sustains
the same load. In the second case it does not, and a leadership change would only add
work, so the intake is limited at the present scheduler.
"""

from collections import deque
from statistics import fmean

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.tuning import Tuning

LOAD_HEARTBEATS = 5
"""Heartbeats over which the present load is averaged: a quarter of a second, within
which a burst has to be detected."""
SUSTAINED_LOAD_HEARTBEATS = 20
"""Heartbeats over which a sustained load is averaged: a second, as shorter peaks say
little."""
OVERLOAD_FACTOR = 1.15
"""A load above this multiple of the highest sustained load is an overload. At 400 jobs
per second, the load of a quarter of a second varies by a twelfth."""
PRESSURE_SHARE = 0.8
"""An intake share below this means pressure, even if heartbeats are on time again."""
OVERLOAD_RETENTION_MS = 3_000
"""How long an overload counts after it was last seen: its work is done within a second
or two of its end."""
MIN_HANDOVER_BACKOFF_MS = 2_000
"""Shortest time between leadership handovers for slowness. After it a takeover is
complete, and the heartbeat delay that it caused no longer counts."""
MAX_HANDOVER_BACKOFF_MS = 60_000
"""Upper limit of the doubling backoff between handovers for slowness."""
_SECOND_MS = 1_000


@attrs.define(eq=False)
class LoadMonitor:
    """Measures heartbeat delay and load of this instance with each heartbeat.

    Parameters
    ----------
    mean_delay_ms : float
        Moving average of the heartbeat delay.
    handover_backoff_ms : int
        Minimum time between leadership handovers for slowness; doubles with each.
    """

    mean_delay_ms: float = 0.0
    handover_backoff_ms: Milliseconds = MIN_HANDOVER_BACKOFF_MS
    sustained_load: float = 0.0
    """Highest load sustained without pressure, in tasks per second."""
    _recent_loads: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=SUSTAINED_LOAD_HEARTBEATS)
    )
    """Load at each of the last heartbeats, in tasks per second."""
    _mean_share: float = 1.0
    """Moving average of the intake share."""
    _elapsed_ms: Milliseconds = 1
    """Time between the last two heartbeats."""
    _last_handover_at: Milliseconds = 0
    _last_pressure_at: Milliseconds = 0
    _overloaded_until: Milliseconds = 0

    @property
    def load(self) -> float:
        """Recent load that callers submit to all instances, in tasks per second."""
        lately = list(self._recent_loads)[-LOAD_HEARTBEATS:]
        return fmean(lately) if lately else 0.0

    def begin(
        self,
        handover_backoff_ms: Milliseconds,
        sustained_load: float,
        now: Milliseconds,
    ) -> None:
        """Start measuring as this instance becomes the scheduler."""
        self.handover_backoff_ms = handover_backoff_ms
        self.sustained_load = sustained_load
        self._recent_loads.clear()
        self._mean_share = 1.0
        self._last_handover_at = self._last_pressure_at = now

    def record_heartbeat(
        self, heartbeat_delay_ms: Milliseconds, elapsed_ms: Milliseconds, tuning: Tuning
    ) -> None:
        """Record the delay of a heartbeat and the time since the previous one."""
        self._elapsed_ms = max(1, elapsed_ms)
        self.mean_delay_ms += (
            heartbeat_delay_ms - self.mean_delay_ms
        ) / tuning.slow_beats

    def record_load(
        self,
        tasks: int,
        share: float,
        now: Milliseconds,
        tuning: Tuning,
        heartbeat_delay_ms: int,
    ) -> None:
        """Record the number of tasks submitted anywhere since the last heartbeat."""
        self._recent_loads.append(tasks * _SECOND_MS / self._elapsed_ms)
        self._mean_share += (share - self._mean_share) / tuning.slow_beats
        if self.is_under_pressure(tuning):
            self._last_pressure_at = now
            if self.load > OVERLOAD_FACTOR * self.sustained_load:
                self._overloaded_until = now + OVERLOAD_RETENTION_MS
        elif share == 1.0 and heartbeat_delay_ms <= tuning.busy_beat_ms:
            if len(self._recent_loads) == SUSTAINED_LOAD_HEARTBEATS:
                self.sustained_load = max(
                    self.sustained_load, fmean(self._recent_loads)
                )
            if now - self._last_pressure_at > self.handover_backoff_ms:
                self.handover_backoff_ms = MIN_HANDOVER_BACKOFF_MS

    def is_slow(self, tuning: Tuning) -> bool:
        """Return whether the average heartbeat delay is too long."""
        return self.mean_delay_ms > tuning.slow_beat_ms

    def is_under_pressure(self, tuning: Tuning) -> bool:
        """Return whether heartbeats are late, or on time only by the intake limit."""
        return self.is_slow(tuning) or self._mean_share < PRESSURE_SHARE

    def is_overloaded(self, now: Milliseconds) -> bool:
        """Return whether the load recently exceeded the highest sustained load."""
        return now < self._overloaded_until

    def may_hand_over(self, now: Milliseconds) -> bool:
        """Return whether the backoff since the last handover for slowness is over."""
        return now - self._last_handover_at > self.handover_backoff_ms

    def record_handover(self, now: Milliseconds) -> None:
        """Record a handover for slowness and double the backoff to the next one."""
        self._last_handover_at = now
        self.handover_backoff_ms = min(
            MAX_HANDOVER_BACKOFF_MS, 2 * self.handover_backoff_ms
        )
