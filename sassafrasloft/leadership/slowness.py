"""Whether a scheduler is slow because of its machine or because of the load.

Load patterns: a machine of the system turns slow; more jobs than any scheduler bears.
In the first case another instance bears the same load. In the second one it does not,
and each takeover would only add work: the load is limited where it is.
"""

from collections import deque
from statistics import fmean

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.tuning import Tuning

LOAD_BEATS = 5
"""Of the present load: a quarter of a second, as a burst is to be told by then."""
BORNE_BEATS = 20
"""Of a load that was borne: a second, as shorter peaks say little."""
OVERLOAD_FACTOR = 1.15
"""Loads vary by a twelfth in a quarter of a second at 400 jobs a second."""
STRAINED_SHARE = 0.8
"""An intake below this share is a strain, whether or not beats are still late."""
OVERLOAD_MEMORY_MS = 3_000
"""The work of an overload is done within a second or two of its end."""
SLOW_RETRY_MS = 2_000
"""Before a slow scheduler asks a first successor again, in milliseconds: a takeover
is over, and its lateness forgotten."""
LONGEST_RETRY_MS = 60_000
"""Bound of the doubling pause between changes for slowness."""
_SECOND_MS = 1_000


@attrs.define(eq=False)
class Slowness:
    """Measures strain and load of this instance, beat by beat.

    Parameters
    ----------
    lateness_ms : float
        How late beats are, smoothed.
    pause_ms : int
        Between changes of the right for slowness; grows with each.
    """

    lateness_ms: float = 0.0
    pause_ms: Milliseconds = SLOW_RETRY_MS
    borne: float = 0.0
    """The highest load that was borne without strain, in tasks a second."""
    _rates: deque[float] = attrs.field(factory=lambda: deque(maxlen=BORNE_BEATS))
    """Tasks a second in the last beats."""
    _share: float = 1.0
    """Of the intake, smoothed."""
    _elapsed_ms: Milliseconds = 1
    """Between the last two beats."""
    _changed_at: Milliseconds = 0
    _strained_at: Milliseconds = 0
    _overloaded_until: Milliseconds = 0

    @property
    def load(self) -> float:
        """What callers hand in anywhere, in tasks a second."""
        lately = list(self._rates)[-LOAD_BEATS:]
        return fmean(lately) if lately else 0.0

    def begin(self, pause_ms: Milliseconds, borne: float, now: Milliseconds) -> None:
        """Note that this instance starts to schedule."""
        self.pause_ms = pause_ms
        self.borne = borne
        self._rates.clear()
        self._share = 1.0
        self._changed_at = self._strained_at = now

    def note_beat(
        self, late_ms: Milliseconds, elapsed_ms: Milliseconds, tuning: Tuning
    ) -> None:
        """Take the lateness of the next beat, and the time since the last one."""
        self._elapsed_ms = max(1, elapsed_ms)
        self.lateness_ms += (late_ms - self.lateness_ms) / tuning.slow_beats

    def note_load(
        self, tasks: int, share: float, now: Milliseconds, tuning: Tuning, late_ms: int
    ) -> None:
        """Take what callers handed in, anywhere, since the last beat."""
        self._rates.append(tasks * _SECOND_MS / self._elapsed_ms)
        self._share += (share - self._share) / tuning.slow_beats
        if self.is_strained(tuning):
            self._strained_at = now
            if self.load > OVERLOAD_FACTOR * self.borne:
                self._overloaded_until = now + OVERLOAD_MEMORY_MS
        elif share == 1.0 and late_ms <= tuning.busy_beat_ms:
            if len(self._rates) == BORNE_BEATS:
                self.borne = max(self.borne, fmean(self._rates))
            if now - self._strained_at > self.pause_ms:
                self.pause_ms = SLOW_RETRY_MS

    def is_slow(self, tuning: Tuning) -> bool:
        """Return whether beats come too late."""
        return self.lateness_ms > tuning.slow_beat_ms

    def is_strained(self, tuning: Tuning) -> bool:
        """Return whether beats come too late, or only a limit keeps them in time."""
        return self.is_slow(tuning) or self._share < STRAINED_SHARE

    def is_overloaded(self, now: Milliseconds) -> bool:
        """Return whether the load was higher than any that was borne."""
        return now < self._overloaded_until

    def may_hand_over(self, now: Milliseconds) -> bool:
        """Return whether the right has not moved for slowness lately."""
        return now - self._changed_at > self.pause_ms

    def note_handed_over(self, now: Milliseconds) -> None:
        """Let the next change wait for twice as long."""
        self._changed_at = now
        self.pause_ms = min(LONGEST_RETRY_MS, 2 * self.pause_ms)
