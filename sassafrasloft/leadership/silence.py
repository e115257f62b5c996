"""How long another instance may be silent before it is taken for gone.

Load pattern: an instance at the end of its processor sends its beats late, and reads
those of others late.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard

LATENESS_FACTOR = 3
"""Beats of an overloaded instance come in intervals that still grow."""


def longest_silence(announced_ms: Milliseconds, board: InstanceBoard) -> Milliseconds:
    """Return the silence after which a stream is taken for dead.

    Parameters
    ----------
    announced_ms : int
        How late the other instance's last beat was, by its own account.
    board : InstanceBoard
        What arrived while this instance was late itself has not been read yet.
    """
    tuning = board.tuning
    announced = min(
        LATENESS_FACTOR * announced_ms, tuning.busy_silence_ms - tuning.silence_ms
    )
    return tuning.silence_ms + max(0, announced) + board.rights.late_ms
