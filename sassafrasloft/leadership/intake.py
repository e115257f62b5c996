"""Which share of new jobs an overloaded scheduler lets the instances hand in.

Load pattern: more jobs than the scheduler's processor bears, or a takeover on top of
a high load. The rest is refused by the instances, which costs the scheduler nothing.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.tuning import Tuning

MOST_CUT_AT_ONCE = 0.25
"""By the first late beat: it may come from a standstill of the machine."""
MOST_CUT_FOR_BACKLOG = 0.5
"""Beside the cut for the growth of the backlog, so that it gets shorter."""
GROWTH = 1.04
"""In each beat in time: the share doubles in about a second."""
FAST_GROWTH = 1.3
"""The same while less is handed in than was borne before."""
SURELY_BORNE = 0.8
"""Of the highest load that was borne; loads vary."""
LEAST_SHARE = 0.02
"""Some jobs always arrive, so that the lateness is that of work."""


class IntakeControl:
    """Follows the measured lateness of beats, which is that of all waiting work."""

    def __init__(self) -> None:
        self.begin(1.0)

    @property
    def share(self) -> float:
        """Of new jobs, those that may be handed in."""
        return self._share

    def begin(self, share: float) -> None:
        """Start from the share that the last scheduler allowed."""
        self._share = share
        self._late_ms = 0
        self._next_cut_at = 0
        self._restored_share = 0.0
        """That before a cut by a single late beat; 0 after other beats."""

    def note_beat(
        self,
        late_ms: Milliseconds,
        load: float,
        borne: float,
        now: Milliseconds,
        tuning: Tuning,
    ) -> None:
        """Take the lateness of the next beat.

        Parameters
        ----------
        late_ms : int
        load : float
            What callers hand in anywhere, in tasks a second.
        borne : float
            The highest load that was borne.
        now : int
        tuning : Tuning
        """
        before, self._late_ms = self._late_ms, late_ms
        if late_ms <= tuning.busy_beat_ms:
            self._grow(load, borne)
        elif before > tuning.busy_beat_ms:
            self._restored_share = 0.0
            if now >= self._next_cut_at:
                self._cut(self._lasting_cut(before, late_ms, tuning), now, tuning)
        elif late_ms > tuning.standstill_ms + tuning.busy_beat_ms:
            excess = (late_ms - tuning.standstill_ms) / tuning.backlog_ms
            self._restored_share = self._share
            self._cut(max(MOST_CUT_AT_ONCE, 1.0 - excess), now, tuning)
            self._next_cut_at = now

    @staticmethod
    def _lasting_cut(
        before: Milliseconds, late_ms: Milliseconds, tuning: Tuning
    ) -> float:
        """Return the factor that lets the backlog get shorter.

        Between the times at which the two beats were due, work arrived for that time
        and for as long as the lateness grew.
        """
        growth = max(0, late_ms - before) / (tuning.beat_ms + before)
        waiting = min(before, late_ms) / tuning.backlog_ms
        return max(MOST_CUT_FOR_BACKLOG, 1.0 - waiting) / (1.0 + growth)

    def _cut(self, factor: float, now: Milliseconds, tuning: Tuning) -> None:
        self._share = max(LEAST_SHARE, self._share * factor)
        # The effect shows once what waits now has been handled.
        self._next_cut_at = now + self._late_ms + tuning.beat_ms

    def _grow(self, load: float, borne: float) -> None:
        if self._restored_share:
            self._share, self._restored_share = self._restored_share, 0.0
            return
        fast = load * self._share < SURELY_BORNE * borne
        factor = FAST_GROWTH if fast else GROWTH
        self._share = min(1.0, self._share * factor)
