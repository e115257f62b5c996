"""Base class of the HTTP applications for callers and for operators."""

from collections.abc import Callable

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import Event
from sassafrasloft.entry.health import Health
from sassafrasloft.entry.replies import PendingReply, ReplyContent, ReplyTable
from sassafrasloft.listeners import JsonApplication, JsonReply, JsonRequest, route


class InstanceApplication(JsonApplication):
    """Converts requests into events for the core and waits for the replies.

    Parameters
    ----------
    tell : callable
        Passes an event to the core.
    replies : ReplyTable
        Open requests that wait for a reply of the core.
    health : Health
        State reported to the load balancer.
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
        """Return whether the load balancer may send new connections."""
        return self._health.reply()

    def _await_reply(
        self,
        request: JsonRequest,
        timeout_ms: Milliseconds,
        event: Callable[[str], Event],
    ) -> tuple[PendingReply, ReplyContent | None]:
        """Pass a request to the core; return the reply, or None without one in time."""
        pending = self._replies.open()
        try:
            self._tell(event(pending.request_id))
            return pending, pending.wait(timeout_ms, request.client_disconnected)
        finally:
            self._replies.close(pending)
