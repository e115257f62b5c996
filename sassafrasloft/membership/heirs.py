"""The table of heirs: which incarnation took over the ids of a stopped one.

An entry is made when an instance stops as planned. It names the incarnation of
the heir, because a later process of the same instance is not the heir: ids that
a crashed heir had taken over are recovered by fencing, and the instance name
alone would not reveal the crash.
"""

from collections.abc import Mapping

from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    HeirChosen,
    PeerMessageReceived,
    register_controller,
)
from sassafrasloft.membership.peers import incarnation_key
from sassafrasloft.messages import HeirAnnounced


def heir_of(board: Blackboard, instance: str, incarnation: str) -> str:
    """Return the last heir of an incarnation, as ``instance.incarnation``.

    Return an empty string if no heir is known. If an heir has also stopped as
    planned, its own heir is returned, and so on.
    """
    chain = board.peers.heir_chain(incarnation_key(instance, incarnation))
    return chain[-1] if len(chain) > 1 else ""


def record_heir(board: Blackboard, key: str, heir: str) -> None:
    """Record the heir of an incarnation, both as ``instance.incarnation``.

    The oldest entries are evicted when the table is full.
    """
    heirs = board.peers.heirs
    heirs.pop(key, None)
    while len(heirs) >= board.peers.max_heirs:
        del heirs[next(iter(heirs))]
    heirs[key] = heir


def merge_heirs(board: Blackboard, heirs: Mapping[str, str]) -> None:
    """Add the heirs from a peer's gossip that are not known yet.

    Known entries are kept, because the heir of an incarnation never changes.
    """
    for key, heir in heirs.items():
        if key not in board.peers.heirs:
            record_heir(board, key, heir)


@register_controller("membership.heirs", 23)
class HeirsController(Controller):
    """Records heirs announced by peers and those chosen by the local handover."""

    handles = (PeerMessageReceived, HeirChosen)

    def react(self, event: Event, board: Blackboard) -> None:
        """Record an announced or chosen heir."""
        message = event.message if isinstance(event, PeerMessageReceived) else event
        if isinstance(message, HeirAnnounced | HeirChosen):
            key = incarnation_key(message.instance, message.incarnation)
            heir = incarnation_key(message.heir, message.heir_incarnation)
            record_heir(board, key, heir)
