"""What the listeners of callers and of operators have in common."""

from collections.abc import Callable

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import Event
from sassafrasloft.entry.health import Health
from sassafrasloft.entry.replies import PendingReply, ReplyContent, ReplyTable
from sassafrasloft.listeners import JsonApplication, JsonReply, JsonRequest, route


class InstanceApplication(JsonApplication):
    """Turns requests into events for the core and waits for its replies.

    Parameters
    ----------
    tell : callable
        Takes the events.
    replies : ReplyTable
        Where the core's replies arrive.
    health : Health
        What the balancer is told.
    """

    def __init__(
        self, tell: Callable[[Event], None], replies: ReplyTable, health: Health
    ) -> None:
        super().__init__()
        self._tell = tell
        self._replies = replies
        self._health = health

    @route("GET", "/health")
    def get_health(self, _: JsonRequest) -> JsonReply:
        """Say whether the balancer may send new connections."""
        return self._health.reply()

    def _await_reply(
        self,
        request: JsonRequest,
        timeout_ms: Milliseconds,
        event: Callable[[str], Event],
    ) -> tuple[PendingReply, ReplyContent | None]:
        """Tell the core of a request; return its reply, or None if none came."""
        pending = self._replies.open()
        try:
            self._tell(event(pending.request_id))
            return pending, pending.wait(timeout_ms, request.client_disconnected)
        finally:
            self._replies.close(pending)
