"""The table of peers: reachability, incarnations, and which of them have ended."""

from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    InstanceGone,
    PeerLinkChanged,
    PeerMessageReceived,
    SettingsAdopted,
    Started,
    register_controller,
)
from sassafrasloft.messages import Gossip, Hello
from sassafrasloft.state import PeerState


def incarnation_key(instance: str, incarnation: str) -> str:
    """Return the key of an incarnation in the tables of heirs and of ended ones."""
    return f"{instance}.{incarnation}"


def peer_is_recently_heard(board: Blackboard, peer: PeerState) -> bool:
    """Whether a message arrived from a peer within `peer_silence_ms`."""
    silence = board.settings.service.membership.peer_silence_ms
    return peer.last_heard_at >= 0 and board.now - peer.last_heard_at <= silence


def incarnation_is_gone(board: Blackboard, instance: str, incarnation: str) -> bool:
    """Whether an incarnation is recorded as ended."""
    return incarnation_key(instance, incarnation) in board.peers.gone


def record_gone(board: Blackboard, instance: str, incarnation: str, proof: str) -> None:
    """Record that an incarnation has ended and notify the controllers once.

    The oldest entries are evicted when the table is full.

    Parameters
    ----------
    proof : str
        The reason why it is known to have ended, for the log.
    """
    key = incarnation_key(instance, incarnation)
    gone = board.peers.gone
    if key in gone:
        return
    while len(gone) >= board.peers.max_gone:
        del gone[next(iter(gone))]
    gone[key] = board.now
    board.post(InstanceGone(instance, incarnation))
    board.log(
        "WARNING",
        "instance_gone",
        instance=instance,
        incarnation=incarnation,
        proof=proof,
    )


def update_incarnation(board: Blackboard, name: str, incarnation: str) -> bool:
    """Update a peer from the incarnation that its message names.

    An incarnation that was declared ended during a partition may be heard again;
    it then counts as alive. A late message from a replaced incarnation is
    ignored while messages from its successor arrive.

    Returns
    -------
    bool
        False if the message must be ignored because another incarnation has
        replaced its sender.
    """
    peer = board.peers.peers[name]
    replaced = incarnation != peer.incarnation
    if incarnation_is_gone(board, name, incarnation):
        if replaced and peer_is_recently_heard(board, peer):
            board.metrics.add("peer_messages_of_gone_incarnations")
            return False
        del board.peers.gone[incarnation_key(name, incarnation)]
        board.log(
            "WARNING", "gone_instance_heard", instance=name, incarnation=incarnation
        )
    elif replaced and peer.incarnation:
        record_gone(board, name, peer.incarnation, f"{incarnation} announced itself")
    if not replaced:
        return True
    peer.incarnation = incarnation
    peer.incarnation_first_heard_at = board.now
    peer.gossip = None
    peer.leaving = False
    return True


@register_controller("membership.peers", 20)
class PeersController(Controller):
    """Maintains one entry for each other instance in the settings."""

    handles = (Started, SettingsAdopted, PeerLinkChanged, PeerMessageReceived)

    def react(self, event: Event, board: Blackboard) -> None:
        """Update the table from settings, stream changes and messages."""
        if isinstance(event, PeerLinkChanged):
            self._apply_link_change(event, board)
        elif isinstance(event, PeerMessageReceived):
            self._record_message(event, board)
        else:
            self._apply_settings(board)

    @staticmethod
    def _apply_settings(board: Blackboard) -> None:
        """Add and remove peers as the settings say; keep the state of the others."""
        known = board.peers.peers
        table: dict[str, PeerState] = {}
        for settings in board.settings.service.instances:
            if settings.name == board.identity.instance:
                continue
            state = known.get(settings.name) or PeerState(settings)
            state.settings = settings
            table[settings.name] = state
        board.peers.peers = table

    @staticmethod
    def _apply_link_change(event: PeerLinkChanged, board: Blackboard) -> None:
        # The I/O layer opens each stream with a Hello of its own.
        peer = board.peers.peers.get(event.peer)
        if peer is not None:
            peer.up = event.up

    @staticmethod
    def _record_message(event: PeerMessageReceived, board: Blackboard) -> None:
        peer = board.peers.peers.get(event.peer)
        if peer is None:
            return
        message = event.message
        if isinstance(message, Hello | Gossip):
            if message.instance != event.peer:
                board.metrics.add("peer_messages_misnamed")
                return
            if not update_incarnation(board, event.peer, message.incarnation):
                return
        peer.last_heard_at = board.now
