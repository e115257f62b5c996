"""State of an instance that concerns leadership, and the stored leadership record.

The scheduler is the instance that holds leadership. Its fencing tokens are built from
the revision of the leadership record, the epoch of the runner's availability zone and
the slot of the scheduler.
"""

import json
from enum import StrEnum

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.messages import Member, ZoneEpoch

TOKENS_PER_REVISION = 1_000_000
"""Fencing tokens per revision of the leadership record: 1,000 zone epochs of 1,000
slots. With revisions up to 9e9, a token is still an exact integer in JSON."""
TOKENS_PER_EPOCH = 1_000
"""Fencing tokens per zone epoch: one for each slot."""


class Role(StrEnum):
    """Role of an instance in scheduling."""

    SEEKING = "seeking"
    """Looks for a scheduler, or tries to become the scheduler."""
    FOLLOWING = "following"
    """Submits its jobs to the scheduler."""
    SCHEDULING = "scheduling"
    """Holds leadership: it schedules the jobs of all instances."""
    ACTING = "acting"
    """Schedules for the instances that can reach it, without a lease from the store."""


@attrs.frozen
class LeadershipRecord:
    """Leadership record in the store: which instance is the scheduler.

    Parameters
    ----------
    name, incarnation, peers_address : str
        Name, incarnation and address of the holder.
    revision : int
        Revision of the item in the store; it increases with each holder.
    """

    name: str
    incarnation: str
    peers_address: str
    revision: int

    def to_bytes(self) -> bytes:
        """Return the value under which the record is stored."""
        return json.dumps([self.name, self.incarnation, self.peers_address]).encode()

    @classmethod
    def from_bytes(cls, value: bytes, revision: int) -> "LeadershipRecord | None":
        """Decode a stored value, or return None if it is not a leadership record."""
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
class PeerStream:
    """State of a stream to or from another instance.

    Parameters
    ----------
    purpose : str
        ``target`` (opened to the holder of leadership), ``acting`` (opened to an
        acting scheduler), ``peer`` (opened for liveness queries) or ``incoming``.
    follower : bool
        Whether the other instance submits its jobs to this one.
    """

    stream_id: int
    purpose: str
    address: str = ""
    name: str = ""
    zone: str = ""
    open: bool = False
    follower: bool = False
    last_received_at: Milliseconds = 0
    opened_at: Milliseconds = 0
    accepts_crash_counts: bool = False
    """Whether the other instance knows the message `CrashCounts`."""
    heartbeat_delay_ms: Milliseconds = 0
    """Heartbeat delay that the other instance reported last."""
    members_version: int = 0
    """Version of the member list that was sent to this follower last; 0 if none."""
    unlisted_runners_version: int = 0
    """Version of the report on unlisted runners that was sent last; 0 if none."""
    offered: int = 0
    """Tasks that callers submitted to the other instance since this instance's last
    heartbeat."""


@attrs.define(eq=False)
class LeadershipState:
    """Leadership section of the blackboard."""

    role: Role = Role.SEEKING
    record: LeadershipRecord | None = None
    """Leadership record of the newest known holder."""
    vacant: bool = False
    """Whether the store reported that no instance holds leadership."""
    known_revision: int = 0
    """Newest known revision of the leadership record."""
    replaced_revision: int = 0
    """Revision of the holder that this instance replaced; 0 if there was none."""
    base_token: int = 0
    """First fencing token of the leadership revision in use."""
    slot: int = 0
    """Slot of this instance in fencing tokens while it is an acting scheduler."""
    zone_epochs: dict[str, int] = attrs.field(factory=dict)
    """Epoch of each availability zone: how often its runners passed from one
    scheduler to another within the same leadership revision."""
    followed_zone_epochs: dict[str, int] = attrs.field(factory=dict)
    """Epochs that the last scheduler used, if it was an acting one."""
    members: tuple[Member, ...] = ()
    """Member list: the instances known to the scheduler."""
    majority_missed_at: Milliseconds = -1
    """When too few members followed this instance last; -1 if never."""
    streams: dict[int, PeerStream] = attrs.field(factory=dict)
    scheduler_stream_id: int = -1
    """Stream to the scheduler; 0 if this instance schedules, -1 if there is none."""
    scheduler_last_received_at: Milliseconds = 0
    scheduler_delay_ms: Milliseconds = 0
    """Heartbeat delay that the current or last scheduler reported last."""
    heartbeat_delay_ms: Milliseconds = 0
    """Heartbeat delay of this instance."""
    intake_share: float = 1.0
    """Fraction of new jobs that may be submitted to the scheduler."""
    sustained_load: float = 0.0
    """Highest load that a scheduler is known to have sustained, in tasks per second."""
    scheduler_configuration_version: int = 0
    """Version of the configuration that the current scheduler reported last."""
    scheduler_reads_evacuations: bool = False
    """Whether the scheduler knows the message `EvacuationReport`."""
    scheduler_is_acting: bool = False
    """Whether the scheduler is an acting scheduler."""
    scheduler_address: str = ""
    """Address to which the stream to the scheduler was opened."""
    scheduler_zone: str = ""
    """The only availability zone that the scheduler serves; empty for all."""
    lease_id: int = 0
    """Store lease of this instance's leadership record; 0 if there is none."""
    lease_confirmed_at: Milliseconds = 0
    """When the store last granted or renewed the lease."""

    def kept_majority(self, since: Milliseconds, until: Milliseconds) -> bool:
        """Return whether a majority followed from one time until after another.

        No other instance can have claimed leadership meanwhile, since that takes a
        majority without a scheduler. Members that are gone for long no longer count,
        so that the majority of today's members alone proves nothing.
        """
        heard = sum(
            one.follower and one.last_received_at > until
            for one in self.streams.values()
        )
        return self.majority_missed_at < since and (heard + 1) * 2 > len(self.members)

    def used_zone_epochs(self) -> tuple[ZoneEpoch, ...]:
        """Return the epochs of all zones that have one, sorted by zone."""
        return tuple(ZoneEpoch(*one) for one in sorted(self.zone_epochs.items()))

    def token_for(self, zone: str) -> int:
        """Return the fencing token for commands to runners in an availability zone."""
        return (
            self.base_token
            + self.zone_epochs.get(zone, 0) * TOKENS_PER_EPOCH
            + self.slot
        )
