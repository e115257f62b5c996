"""The start of a planned stop."""

from sassafrasloft.core import (
    Blackboard,
    Controller,
    DrainRequested,
    Event,
    Reply,
    SetHealth,
    Status,
    register_controller,
)

ACCEPT_END_TIMER = "drain.accept_end"
"""Timer that expires once the load balancer opens no new connections here."""


@register_controller("membership.drain", 22)
class DrainController(Controller):
    """Marks the instance as leaving; gossip and the lease then announce that."""

    handles = (DrainRequested,)

    def react(self, event: Event, board: Blackboard) -> None:
        """Start the planned stop on the first request and confirm every request."""
        assert isinstance(event, DrainRequested)
        if not board.peers.leaving:
            board.peers.leaving = True
            board.emit(SetHealth(False))
            lag = board.settings.service.membership.balancer_lag_ms
            board.set_timer(ACCEPT_END_TIMER, lag)
            board.log("INFO", "drain_started", balancer_lag_ms=lag)
        if event.request_id:
            values = {"instance": board.identity.instance, "leaving": True}
            board.emit(Reply(event.request_id, Status(values)))
