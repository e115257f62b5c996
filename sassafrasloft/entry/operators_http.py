"""The HTTP interface for operators, which has a separate address."""

from collections.abc import Callable

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import DrainRequested, Event, Status, StatusRequested
from sassafrasloft.entry.health import Health
from sassafrasloft.entry.instance_application import InstanceApplication
from sassafrasloft.entry.replies import ReplyTable
from sassafrasloft.errors import SassafrasloftError
from sassafrasloft.listeners import (
    JsonReply,
    JsonRequest,
    error_reply,
    route,
)

STATUS_TIMEOUT_MS: Milliseconds = 5_000


class OperatorsApplication(InstanceApplication):
    """Serves health, metrics and status, and accepts requests for a planned stop.

    Parameters
    ----------
    tell, replies, health
        As for `InstanceApplication`.
    metrics_text : callable
        Returns the metrics in the text format of Prometheus.
    """

    def __init__(
        self,
        tell: Callable[[Event], None],
        replies: ReplyTable,
        health: Health,
        metrics_text: Callable[[], str],
    ) -> None:
        super().__init__(tell, replies, health)
        self._metrics_text = metrics_text

    @route("GET", "/metrics")
    def metrics(self, _: JsonRequest) -> JsonReply:
        """Return all metrics of the process."""
        return JsonReply(text=self._metrics_text())

    @route("GET", "/status")
    def status(self, request: JsonRequest) -> JsonReply:
        """Return the state of the instance."""
        return self._exchange(request, StatusRequested)

    @route("POST", "/drain")
    def drain(self, request: JsonRequest) -> JsonReply:
        """Start the planned stop of the instance."""
        return self._exchange(request, DrainRequested)

    def _exchange(
        self, request: JsonRequest, event: Callable[[str], Event]
    ) -> JsonReply:
        _, content = self._await_reply(request, STATUS_TIMEOUT_MS, event)
        if isinstance(content, Status):
            return JsonReply(body=content.values)
        error = SassafrasloftError("instance", "no reply in time", "Try again.")
        return error_reply(503, error)
