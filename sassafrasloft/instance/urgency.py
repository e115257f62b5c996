"""Which events the decision core handles before others that arrived earlier.

Load pattern: more work arrives than a scheduler's processor can handle. The events by
which instances detect failures of each other take little work and must not be late.
"""

from sassafrasloft.blackboard import Event, Started, TimerFired
from sassafrasloft.instance.events import (
    BacklogMeasured,
    MessageReceived,
    StopRequested,
    StoreReplied,
)
from sassafrasloft.instance.messages import Heartbeat, LivenessQuery, LivenessReply
from sassafrasloft.leadership.role_controller import (
    HEARTBEAT_TIMER,
    LEASE_RENEWAL_TIMER,
)

_URGENT_EVENTS = (Started, StopRequested, StoreReplied, BacklogMeasured)
_URGENT_TIMERS = frozenset({HEARTBEAT_TIMER, LEASE_RENEWAL_TIMER})
_URGENT_MESSAGES = (LivenessQuery, LivenessReply)


def is_urgent(event: Event) -> bool:
    """Return whether an event may be handled before earlier ones.

    A heartbeat with a member list is valid only after the preceding `Welcome`, so it
    keeps its position.
    """
    if isinstance(event, MessageReceived):
        message = event.message
        if isinstance(message, Heartbeat):
            return message.members is None
        return isinstance(message, _URGENT_MESSAGES)
    if isinstance(event, TimerFired):
        return event.name in _URGENT_TIMERS
    return isinstance(event, _URGENT_EVENTS)
