"""Who answers for a submission id: the owner, its heir, or the recovery."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import Blackboard
from sassafrasloft.submissions.ids import SubmissionId, owner_key


@attrs.frozen
class Owner:
    """Where a request for a submission is to go.

    Parameters
    ----------
    peer : str
        The instance that owns the submission; empty if there is none.
    ended : tuple of str
        The ended incarnations that may have started its tasks, as
        ``instance.incarnation``; empty if none is proved to have ended.
    gone_ms : Milliseconds
        When the last of them was proved to have ended.
    """

    peer: str = ""
    ended: tuple[str, ...] = ()
    gone_ms: Milliseconds = 0


def find_owner(board: Blackboard, submission_id: SubmissionId) -> Owner:
    """Return who answers for an id whose ledger is not held here."""
    chain = board.peers.heir_chain(submission_id.owner)
    gone_ms = ended_since(board, chain[-1])
    if gone_ms is not None:
        return Owner(ended=chain, gone_ms=gone_ms)
    instance = chain[-1].rpartition(".")[0]
    if instance in board.peers.peers and instance != board.identity.instance:
        return Owner(peer=instance)
    return Owner()


def ended_since(board: Blackboard, key: str) -> Milliseconds | None:
    """Return when an incarnation was proved to have ended, or None.

    An earlier incarnation of this instance has ended: this one is newer.
    """
    if key in board.peers.gone:
        return board.peers.gone[key]
    identity = board.identity
    if key == owner_key(identity.instance, identity.incarnation):
        return None
    if key.rpartition(".")[0] == identity.instance:
        return 0
    return None


def live_peers(board: Blackboard) -> list[str]:
    """Return peers that can take work over, own zone first, others after.

    Within a zone the order is random, so that leaving instances do not all
    choose the same peer.
    """
    names = [
        name
        for name, peer in board.peers.peers.items()
        if peer.up and not peer.leaving and name != board.identity.instance
    ]
    board.random.shuffle(names)
    zone = board.identity.zone
    return sorted(names, key=lambda name: board.peers.peers[name].settings.zone != zone)
