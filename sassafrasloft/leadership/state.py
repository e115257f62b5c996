"""What an instance knows of the right to schedule."""

import json
from enum import StrEnum

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.messages import RosterEntry, ZoneRound

TOKENS_PER_REVISION = 1_000_000
"""Room for 1,000 rounds of 1,000 slots; with revisions up to 9e9 a token stays an
exact integer in JSON."""
TOKENS_PER_ROUND = 1_000


class Role(StrEnum):
    """What an instance does about scheduling."""

    SEEKING = "seeking"
    """It looks for a scheduler, or tries to become it."""
    FOLLOWING = "following"
    SCHEDULING = "scheduling"
    ACTING = "acting"
    """It schedules for those that can reach it, without a lease from the store."""


@attrs.frozen
class RightRecord:
    """The store's record of who schedules.

    Parameters
    ----------
    name, incarnation, peers_address : str
        The holder.
    revision : int
        Of the store's item; rises with each holder.
    """

    name: str
    incarnation: str
    peers_address: str
    revision: int

    def to_bytes(self) -> bytes:
        """Return the value of the store's item."""
        return json.dumps([self.name, self.incarnation, self.peers_address]).encode()

    @classmethod
    def from_bytes(cls, value: bytes, revision: int) -> "RightRecord | None":
        """Return the record of an item, or None if it is not one."""
        try:
            fields = json.loads(value)
        except ValueError:
            return None
        if (
            not isinstance(fields, list)
            or len(fields) != 3
            or not all(isinstance(one, str) for one in fields)
        ):
            return None
        return cls(*fields, revision)


@attrs.define(eq=False)
class StreamState:
    """A stream to or from another instance.

    Parameters
    ----------
    purpose : str
        ``target``, ``peer`` (for questions), or ``incoming``.
    follower : bool
        Whether the other side hands in jobs here.
    """

    stream_id: int
    purpose: str
    address: str = ""
    name: str = ""
    zone: str = ""
    open: bool = False
    follower: bool = False
    heard_at: Milliseconds = 0
    opened_at: Milliseconds = 0
    late_ms: Milliseconds = 0
    """How late the other side's last beat was, by its own account."""
    offered: int = 0
    """Tasks that callers handed in there since this instance's last beat."""


@attrs.define(eq=False)
class Rights:
    """The section of the blackboard about the right to schedule."""

    role: Role = Role.SEEKING
    record: RightRecord | None = None
    """Of the newest holder known."""
    record_absent: bool = False
    """Whether the store said that nobody has the right."""
    known_revision: int = 0
    replaced_revision: int = 0
    """Of the holder that this instance's claim replaced; 0 if there was none."""
    base_token: int = 0
    slot: int = 0
    rounds: dict[str, int] = attrs.field(factory=dict)
    """By availability zone: how often its runners changed hands under this right."""
    roster: tuple[RosterEntry, ...] = ()
    streams: dict[int, StreamState] = attrs.field(factory=dict)
    target: int = -1
    """The stream to the scheduler; 0 is this instance itself, -1 none."""
    target_heard_at: Milliseconds = 0
    target_late_ms: Milliseconds = 0
    """How late the last beat of the newest target was, by its own account."""
    late_ms: Milliseconds = 0
    """How late this instance's last beat was."""
    intake_share: float = 1.0
    """Of new jobs, those that may be handed in to the scheduler."""
    borne: float = 0.0
    """The highest load that a scheduler is known to have borne, in tasks a second."""
    target_acting: bool = False
    """Whether the target is an acting scheduler."""
    target_address: str = ""
    target_zone: str = ""
    """The only zone that the target schedules for; empty for all."""
    lease_id: int = 0
    lease_confirmed_at: Milliseconds = 0

    def used_rounds(self) -> tuple[ZoneRound, ...]:
        """Return the rounds of fencing tokens by zone."""
        return tuple(ZoneRound(*one) for one in sorted(self.rounds.items()))

    def token_for(self, zone: str) -> int:
        """Return the fencing token of orders to runners of a zone."""
        return self.base_token + self.rounds.get(zone, 0) * TOKENS_PER_ROUND + self.slot
