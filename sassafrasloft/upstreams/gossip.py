"""Access to the complete gossip of a peer, including its unchanged tables."""

from sassafrasloft.core import Blackboard, PeerMessageReceived
from sassafrasloft.messages import Gossip


def gossip_of(event: PeerMessageReceived, board: Blackboard) -> Gossip | None:
    """Return the complete gossip of the sender, or None for other messages.

    A gossip message omits tables that have not changed. The membership
    controllers handle the message first and store the complete gossip in the
    entry of the peer.
    """
    if not isinstance(event.message, Gossip):
        return None
    peer = board.peers.peers.get(event.peer)
    return event.message if peer is None else peer.gossip
