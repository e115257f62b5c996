"""Membership: peers, gossip, heirs, ended incarnations and planned stops."""

from sassafrasloft.membership.drain import ACCEPT_END_TIMER, DrainController
from sassafrasloft.membership.gossip import (
    GossipController,
    GossipReceivedController,
)
from sassafrasloft.membership.heirs import HeirsController, heir_of
from sassafrasloft.membership.liveness import LivenessController
from sassafrasloft.membership.pause import PauseController
from sassafrasloft.membership.peers import (
    PeersController,
    incarnation_is_gone,
    incarnation_key,
    peer_is_recently_heard,
)
from sassafrasloft.membership.status import StatusController, status_values

__all__ = [
    "ACCEPT_END_TIMER",
    "DrainController",
    "GossipController",
    "GossipReceivedController",
    "HeirsController",
    "LivenessController",
    "PauseController",
    "PeersController",
    "StatusController",
    "heir_of",
    "incarnation_is_gone",
    "incarnation_key",
    "peer_is_recently_heard",
    "status_values",
]
