"""Intake share: the fraction of new jobs that may be submitted to the scheduler.

It is lowered when there are more jobs than the processor of the scheduler can handle,
or when a takeover adds to a high load. Each instance refuses the remaining jobs itself,
which costs the scheduler nothing.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.tuning import Tuning

SINGLE_DELAY_MIN_FACTOR = 0.25
"""Lowest factor applied for a single delayed heartbeat, since the delay may come from
a standstill of the machine."""
BACKLOG_MIN_FACTOR = 0.5
"""Lowest factor applied for the length of the backlog, so that it shrinks. A further
factor offsets the growth of the backlog."""
GROWTH_FACTOR = 1.04
"""Increase of the share per heartbeat on time: it doubles in about a second."""
FAST_GROWTH_FACTOR = 1.3
"""Increase per heartbeat on time while the load is below one sustained before."""
SAFE_LOAD_FACTOR = 0.8
"""Fraction of the highest sustained load up to which the share rises fast; loads
vary."""
MIN_INTAKE_SHARE = 0.02
"""Lowest intake share. Some jobs always arrive, so that the heartbeat delay reflects
the handling of work."""


class IntakeLimiter:
    """Adapts the intake share to the heartbeat delay.

    The heartbeat delay equals the delay of all waiting work.
    """

    def __init__(self) -> None:
        self.begin(1.0)

    @property
    def share(self) -> float:
        """Fraction of new jobs that may be submitted to the scheduler."""
        return self._share

    def begin(self, share: float) -> None:
        """Start from the share that the previous scheduler allowed."""
        self._share = share
        self._last_delay_ms = 0
        self._next_reduction_at = 0
        self._share_to_restore = 0.0
        """Share before a reduction for a single delayed heartbeat; 0 otherwise."""

    def record_heartbeat(
        self,
        heartbeat_delay_ms: Milliseconds,
        load: float,
        sustained_load: float,
        now: Milliseconds,
        tuning: Tuning,
    ) -> None:
        """Update the share from the delay of the newest heartbeat.

        Parameters
        ----------
        heartbeat_delay_ms : int
            Delay of the heartbeat.
        load : float
            Load that callers submit to all instances, in tasks per second.
        sustained_load : float
            Highest sustained load, in tasks per second.
        now : int
        tuning : Tuning
        """
        before, self._last_delay_ms = self._last_delay_ms, heartbeat_delay_ms
        if heartbeat_delay_ms <= tuning.busy_beat_ms:
            self._raise_share(load, sustained_load)
        elif before > tuning.busy_beat_ms:
            self._share_to_restore = 0.0
            if now >= self._next_reduction_at:
                self._reduce_share(
                    self._sustained_reduction(before, heartbeat_delay_ms, tuning),
                    now,
                    tuning,
                )
        elif heartbeat_delay_ms > tuning.standstill_ms + tuning.busy_beat_ms:
            excess = (heartbeat_delay_ms - tuning.standstill_ms) / tuning.backlog_ms
            self._share_to_restore = self._share
            self._reduce_share(max(SINGLE_DELAY_MIN_FACTOR, 1.0 - excess), now, tuning)
            self._next_reduction_at = now

    @staticmethod
    def _sustained_reduction(
        before: Milliseconds, heartbeat_delay_ms: Milliseconds, tuning: Tuning
    ) -> float:
        """Return the factor for two delayed heartbeats, so that the backlog shrinks.

        The work that arrived between the due times of the two heartbeats takes that
        time plus the growth of the delay to handle.
        """
        growth = max(0, heartbeat_delay_ms - before) / (tuning.beat_ms + before)
        waiting = min(before, heartbeat_delay_ms) / tuning.backlog_ms
        return max(BACKLOG_MIN_FACTOR, 1.0 - waiting) / (1.0 + growth)

    def _reduce_share(self, factor: float, now: Milliseconds, tuning: Tuning) -> None:
        self._share = max(MIN_INTAKE_SHARE, self._share * factor)
        # The effect shows only after the work that is waiting now has been handled.
        self._next_reduction_at = now + self._last_delay_ms + tuning.beat_ms

    def _raise_share(self, load: float, sustained_load: float) -> None:
        if self._share_to_restore:
            self._share, self._share_to_restore = self._share_to_restore, 0.0
            return
        fast = load * self._share < SAFE_LOAD_FACTOR * sustained_load
        factor = FAST_GROWTH_FACTOR if fast else GROWTH_FACTOR
        self._share = min(1.0, self._share * factor)
