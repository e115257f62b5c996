"""State of the other entry instances, as seen by this instance."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.messages import Gossip
from sassafrasloft.settings import InstanceSettings


@attrs.define
class PeerState:
    """The known state of one peer.

    Parameters
    ----------
    last_heard_at : Milliseconds
        When the last message of the peer arrived; -1 if none has.
    incarnation_first_heard_at : Milliseconds
        When a message of the present incarnation first arrived; -1 if none has.
    gossip : Gossip or None
        The newest gossip of the present incarnation; tables that it omits are
        filled in from earlier gossip.
    """

    settings: InstanceSettings
    up: bool = False
    incarnation: str = ""
    last_heard_at: Milliseconds = -1
    incarnation_first_heard_at: Milliseconds = -1
    gossip: Gossip | None = None
    leaving: bool = False


@attrs.define
class PeerTable:
    """All peers by name in the order of the settings, heirs and ended incarnations.

    Parameters
    ----------
    heirs : dict of str to str
        The incarnation that took over the ids of a stopped one, both as
        ``instance.incarnation``. Beyond `max_heirs` the oldest are dropped.
    gone : dict of str to int
        When each ``instance.incarnation`` was proved to have ended. Beyond
        `max_gone` the oldest are dropped.
    """

    peers: dict[str, PeerState] = attrs.field(factory=dict)
    heirs: dict[str, str] = attrs.field(factory=dict)
    gone: dict[str, Milliseconds] = attrs.field(factory=dict)
    gossip_sequence: int = 0
    leaving: bool = False
    max_heirs: int = 512
    max_gone: int = 1_024

    def heir_chain(self, key: str) -> tuple[str, ...]:
        """Return an incarnation and its successive heirs, the latest one last."""
        chain = [key]
        while (heir := self.heirs.get(chain[-1], "")) and heir not in chain:
            chain.append(heir)
        return tuple(chain)
