"""Messages and instance states for the tests of membership."""

from sassafrasloft.core import SendToPeer
from sassafrasloft.messages import Gossip, ListedInstance
from sassafrasloft.state import RunnerState
from sassafrasloft.testing.single_instance import PEER_NAME


def gossip(sequence=1, incarnation="aa", **fields) -> Gossip:
    values = {"instance": PEER_NAME, "settings_revision": 0} | fields
    return Gossip(incarnation=incarnation, sequence=sequence, **values)


def listed_peer(incarnation="aa", lapsed_ms=60_000, state="lapsed") -> ListedInstance:
    return ListedInstance(PEER_NAME, "entry", "z", incarnation, state, "", lapsed_ms)


def set_platform_list(instance, *entries) -> None:
    """Set the platform state as if the given list had just been read."""
    state = instance.board.platform
    state.listed = {f"{one.role}/{one.name}": one for one in entries}
    state.listed_ms = instance.now
    state.available = True


def sent_gossip(commands) -> dict[str, Gossip]:
    return {
        command.peer: command.message
        for command in commands
        if isinstance(command, SendToPeer) and isinstance(command.message, Gossip)
    }


def make_busy(board, load=3) -> None:
    """Set `load` tasks in flight on every runner."""
    for settings in board.settings.service.runners:
        state = RunnerState(settings, incarnation="cafe")
        state.in_flight = dict.fromkeys(range(load))
        board.upstreams.runners[settings.name] = state
