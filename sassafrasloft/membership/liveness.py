"""Detection of ended incarnations from the platform's list of instances.

The other proof, a message from a newer incarnation, is handled in `peers`.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    TimerFired,
    register_controller,
)
from sassafrasloft.membership.gossip import GOSSIP_TIMER
from sassafrasloft.membership.peers import (
    incarnation_is_gone,
    peer_is_recently_heard,
    record_gone,
)
from sassafrasloft.messages import ListedInstance
from sassafrasloft.state import PeerState

FRESH_LIST_PERIODS = 2
"""List periods, in addition to one call timeout, for which a list is fresh.

A single failed call must not make the list unusable.
"""


def list_is_fresh(board: Blackboard) -> bool:
    """Whether the platform is available and its list was read recently."""
    state = board.platform
    settings = board.settings.service.platform
    limit = FRESH_LIST_PERIODS * settings.list_period_ms + settings.call_timeout_ms
    return (
        state.available
        and state.listed_ms >= 0
        and board.now - state.listed_ms <= limit
    )


def is_unreachable(board: Blackboard, peer: PeerState | None) -> bool:
    """Whether a peer has no open stream and has not been heard from recently."""
    return peer is None or not (peer.up or peer_is_recently_heard(board, peer))


def expired_lease_proves_end(
    entry: ListedInstance, peer: PeerState | None, board: Blackboard
) -> bool:
    """Whether a lease expired over `gone_after_ms` ago and its peer is unreachable."""
    gone_after = board.settings.service.membership.gone_after_ms
    return (
        entry.state == "lapsed"
        and entry.lapsed_ms > gone_after
        and is_unreachable(board, peer)
    )


def live_lease_proves_successor(
    entry: ListedInstance, peer: PeerState, board: Blackboard
) -> bool:
    """Whether a live lease proves that the last heard incarnation was replaced.

    If the listed incarnation were older than the last heard one, nobody would
    renew its lease. It would have expired at most `lease_ms` after the last call
    that renewed it, and the list would show that after `list_lag_ms`.
    """
    settings = board.settings.service.platform
    limit = settings.lease_ms + settings.call_timeout_ms + settings.list_lag_ms
    known_for: Milliseconds = board.platform.listed_ms - peer.incarnation_first_heard_at
    return (
        entry.state != "lapsed"
        and entry.incarnation != peer.incarnation
        and peer.incarnation != ""
        and known_for > limit
        and is_unreachable(board, peer)
    )


@register_controller("membership.liveness", 26)
class LivenessController(Controller):
    """Checks the platform's list of instances for ended incarnations."""

    handles = (TimerFired,)

    def react(self, event: Event, board: Blackboard) -> None:
        """Check the listed entry instances on the gossip timer if the list is fresh."""
        assert isinstance(event, TimerFired)
        if event.name != GOSSIP_TIMER or not list_is_fresh(board):
            return
        for entry in board.platform.listed.values():
            if entry.role == "entry" and entry.name != board.identity.instance:
                self._check_entry(entry, board)

    @staticmethod
    def _check_entry(entry: ListedInstance, board: Blackboard) -> None:
        peer = board.peers.peers.get(entry.name)
        if peer is not None and entry.incarnation == peer.incarnation:
            peer.leaving = peer.leaving or entry.state == "leaving"
        if incarnation_is_gone(board, entry.name, entry.incarnation):
            return
        if expired_lease_proves_end(entry, peer, board):
            proof = f"lease expired {entry.lapsed_ms} ms ago and peer is unreachable"
            record_gone(board, entry.name, entry.incarnation, proof)
        elif peer is not None and live_lease_proves_successor(entry, peer, board):
            proof = f"incarnation {entry.incarnation} holds the lease"
            record_gone(board, entry.name, peer.incarnation, proof)
