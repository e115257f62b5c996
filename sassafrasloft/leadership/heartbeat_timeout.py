"""Heartbeat timeout: when a silent stream to another instance counts as failed.

The timeout adapts to load: an instance that has used up its processor share sends its
own heartbeats late, and reads those of other instances late.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard

DELAY_FACTOR = 3
"""Extra time per reported delay: the intervals between the heartbeats of an
overloaded instance are still growing."""


def heartbeat_timeout_ms(
    reported_delay_ms: Milliseconds, board: InstanceBoard
) -> Milliseconds:
    """Return the time without messages after which a stream counts as failed.

    Parameters
    ----------
    reported_delay_ms : int
        Heartbeat delay that the other instance reported last.
    board : InstanceBoard
        Blackboard of this instance. Its own heartbeat delay is added, as messages that
        arrived during it have not been read yet.
    """
    tuning = board.tuning
    announced = min(
        DELAY_FACTOR * reported_delay_ms, tuning.busy_silence_ms - tuning.silence_ms
    )
    return tuning.silence_ms + max(0, announced) + board.leadership.heartbeat_delay_ms
