"""Renewal of the incarnation after a long pause of the process or a fence."""

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
    """Starts a new incarnation if peers may consider the present one ended.

    An instance that was isolated from its peers and the platform may have been
    declared ended and fenced although it never paused. It learns this from the
    first task that a runner refuses.
    """

    handles = (IncarnationFenced,)

    def __init__(self) -> None:
        self._has_had_event = False

    def before(self, event: Event, board: Blackboard) -> None:
        """Detect a pause from the time since the previous event.

        This runs before any controller reacts to the event, so that no decision
        is made under an authority that has ended.
        """
        had_event, self._has_had_event = self._has_had_event, True
        if not had_event:
            # Before its first event an instance has no authority that it could lose.
            return
        old = board.identity.incarnation
        gap = board.now - board.last_event_ms
        if gap <= board.settings.service.membership.pause_limit_ms:
            return
        _start_new_incarnation(board)
        board.log("WARNING", "paused", gap_ms=gap, old_incarnation=old)

    def react(self, event: Event, board: Blackboard) -> None:
        """Start a new incarnation if the present one has been fenced."""
        assert isinstance(event, IncarnationFenced)
        if event.incarnation == board.identity.incarnation:
            _start_new_incarnation(board)
            board.log("WARNING", "incarnation_fenced", incarnation=event.incarnation)


def _start_new_incarnation(board: Blackboard) -> None:
    identity = board.identity
    old = identity.incarnation
    identity.incarnation = f"{board.random.getrandbits(INCARNATION_BITS):016x}"
    identity.secret = board.random.randbytes(SECRET_BYTES)
    board.post(AuthorityLost(old))
