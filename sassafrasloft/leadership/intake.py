"""Which share of new jobs an overloaded scheduler lets the instances hand in.

Load pattern: more jobs than the scheduler's processor bears, or a takeover on top of
a high load. The rest is refused by the instances, which costs the scheduler nothing.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.tuning import Tuning

MOST_CUT = 0.5
"""At once: how late beats are tells the backlog, but not how fast it grows."""
GROWTH = 1.04
"""In each beat in time: the share doubles in about a second."""
LEAST_SHARE = 0.02
"""Some jobs always arrive, so that the lateness is that of work."""


class IntakeControl:
    """Follows the measured lateness of beats, which is that of all waiting work."""

    def __init__(self) -> None:
        self._share = 1.0
        self._late_ms = 0
        self._next_cut_at = 0

    @property
    def share(self) -> float:
        """Of new jobs, those that may be handed in."""
        return self._share

    def begin(self, share: float) -> None:
        """Start from the share that the last scheduler allowed."""
        self._share = share
        self._late_ms = 0
        self._next_cut_at = 0

    def note_beat(
        self, late_ms: Milliseconds, now: Milliseconds, tuning: Tuning
    ) -> None:
        """Take the lateness of the next beat.

        A single late one may be a standstill of the machine, so that the smaller one of
        two counts.
        """
        lasting = min(late_ms, self._late_ms)
        self._late_ms = late_ms
        if lasting > tuning.busy_beat_ms:
            if now >= self._next_cut_at:
                kept = max(MOST_CUT, 1.0 - lasting / tuning.backlog_ms)
                self._share = max(LEAST_SHARE, self._share * kept)
                # The effect shows once what waits now has been handled.
                self._next_cut_at = now + late_ms + tuning.beat_ms
        elif late_ms <= tuning.busy_beat_ms:
            self._share = min(1.0, self._share * GROWTH)
