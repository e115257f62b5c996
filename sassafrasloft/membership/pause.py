"""New authority after a pause beyond the lease, or after a fence."""

from sassafrasloft.core import (
    AuthorityLost,
    Blackboard,
    Controller,
    Event,
    IncarnationFenced,
    register_controller,
)

INCARNATION_BITS = 64
SECRET_BYTES = 32


@register_controller("membership.pause", 1)
class PauseController(Controller):
    """Gives the instance a new incarnation if others may have replaced it.

    An instance that was cut off from its peers and the platform may have been
    taken for gone and fenced, although it never paused: the first refusal tells.
    """

    handles = (IncarnationFenced,)

    def __init__(self) -> None:
        self._running = False

    def before(self, event: Event, board: Blackboard) -> None:
        """Compare the time of this event with that of the event before.

        Runs before all reactions, so that nothing is decided under an authority
        that has ended.
        """
        running, self._running = self._running, True
        if not running:
            # Before its first event an instance had nothing to lose.
            return
        old = board.identity.incarnation
        gap = board.now - board.last_event_ms
        if gap <= board.settings.service.membership.pause_limit_ms:
            return
        _renew(board)
        board.log("WARNING", "paused", gap_ms=gap, old_incarnation=old)

    def react(self, event: Event, board: Blackboard) -> None:
        """Go on under a new incarnation if the present one is fenced."""
        assert isinstance(event, IncarnationFenced)
        if event.incarnation == board.identity.incarnation:
            _renew(board)
            board.log("WARNING", "incarnation_fenced", incarnation=event.incarnation)


def _renew(board: Blackboard) -> None:
    identity = board.identity
    old = identity.incarnation
    identity.incarnation = f"{board.random.getrandbits(INCARNATION_BITS):016x}"
    identity.secret = board.random.randbytes(SECRET_BYTES)
    board.post(AuthorityLost(old))
