"""Periodic reading of the platform's list of instances and runners."""

from sassafrasloft.configuration.platform_calls import (
    PlatformCallCompleted,
    is_call_pending,
    request_call,
)
from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    Started,
    TimerFired,
    register_controller,
)
from sassafrasloft.messages import InstanceList, ListInstances

LIST_PURPOSE = "list"
LIST_TIMER = "configuration.list"

JITTER_SHARE = 0.1
"""Largest share of the period by which the time between two readings is randomly
shortened or lengthened, so that instances that started at the same time do not read
the list at the same time."""


@register_controller("configuration.list", 12)
class InstanceListController(Controller):
    """Reads the list every `list_period_ms`; keeps the last list if a call fails."""

    handles = (Started, TimerFired, PlatformCallCompleted)

    def react(self, event: Event, board: Blackboard) -> None:
        """Request the list on each timer and store the reply."""
        if isinstance(event, PlatformCallCompleted):
            if event.purpose == LIST_PURPOSE:
                self._handle_reply(event, board)
        elif isinstance(event, Started) or event.name == LIST_TIMER:
            if not is_call_pending(board, LIST_PURPOSE):
                request_call(board, LIST_PURPOSE, ListInstances())
            self._set_timer(board)

    @staticmethod
    def _set_timer(board: Blackboard) -> None:
        period_ms = board.settings.service.platform.list_period_ms
        jitter_ms = int(period_ms * JITTER_SHARE * (2 * board.random.random() - 1))
        board.set_timer(LIST_TIMER, period_ms + jitter_ms)

    @staticmethod
    def _handle_reply(event: PlatformCallCompleted, board: Blackboard) -> None:
        reply = event.reply
        if not isinstance(reply, InstanceList):
            return
        state = board.platform
        state.listed = {f"{entry.role}/{entry.name}": entry for entry in reply.entries}
        state.listed_ms = event.sent_at_ms
