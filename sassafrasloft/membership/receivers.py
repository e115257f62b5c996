"""Selection of the peers that an instance sends gossip to."""

import hashlib
from collections.abc import Sequence

from sassafrasloft.settings import InstanceSettings


def receiver_rank(sender: str, receiver: str, rotation: int) -> bytes:
    """Return the sort key of a receiver for one sender.

    A hash keyed with the name of the sender gives each sender a different order,
    which spreads the load over the receivers.
    """
    key = sender.encode()[:64]
    text = f"{rotation}/{receiver}".encode()
    return hashlib.blake2b(text, key=key, digest_size=8).digest()


def choose_receivers(
    sender: str,
    zone: str,
    peers: Sequence[InstanceSettings],
    fanout: int,
    rotation: int = 0,
) -> list[str]:
    """Return the names of the peers that a sender sends gossip to.

    These are all peers if there are no more than the fanout. Otherwise one peer
    of each other zone comes first, with one place reserved for the sender's own
    zone, then peers of the own zone, then the remaining peers.

    Parameters
    ----------
    rotation : int
        A different number gives a different selection, so that over time every
        peer receives gossip.
    """
    if len(peers) <= fanout:
        return [peer.name for peer in peers]
    ranked = sorted(peers, key=lambda peer: receiver_rank(sender, peer.name, rotation))
    own = [peer.name for peer in ranked if peer.zone == zone]
    first_of_zone: dict[str, str] = {}
    for peer in ranked:
        if peer.zone != zone:
            first_of_zone.setdefault(peer.zone, peer.name)
    elsewhere = list(first_of_zone.values())[: fanout - 1 if own else fanout]
    chosen = elsewhere + own[: fanout - len(elsewhere)]
    taken = set(chosen)
    rest = [peer.name for peer in ranked if peer.name not in taken]
    return chosen + rest[: fanout - len(chosen)]
