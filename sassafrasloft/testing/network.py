"""Simulated network between availability zones: latency, loss, partitions."""

from random import Random

import attrs

PLATFORM_ZONE = "platform"
"""Pseudo zone of the platform, so that partitions can separate zones from it."""


@attrs.define
class Network:
    """Decides which messages arrive, and after which latency.

    Parameters
    ----------
    random : random.Random
        Draws jitter, loss and duplication.
    zone_latency_ms : float
        One-way latency between availability zones.
    local_latency_ms : float
        One-way latency within a zone.
    client_latency_ms : float
        One-way latency between a caller and an entry instance.
    lost_share, duplicated_share : float
        Shares of the messages between instances that are lost or arrive twice.
    jitter_ms : float
        Upper limit of the random delay added to the latency between zones.
    partitioned_pairs : set of frozenset of str
        Pairs of zones between which no messages pass.
    """

    random: Random
    zone_latency_ms: float = 1.0
    local_latency_ms: float = 0.25
    client_latency_ms: float = 3.0
    lost_share: float = 0.0
    duplicated_share: float = 0.0
    jitter_ms: float = 0.0
    partitioned_pairs: set[frozenset[str]] = attrs.field(factory=set)

    def latency_ms(self, one_zone: str, other_zone: str) -> float:
        """Return the one-way latency between two zones, including jitter."""
        same = one_zone == other_zone
        base_ms = self.local_latency_ms if same else self.zone_latency_ms
        if not self.jitter_ms:
            return base_ms
        return base_ms + self.random.uniform(0, self.jitter_ms)

    def is_connected(self, one_zone: str, other_zone: str) -> bool:
        """Return whether messages pass between two zones."""
        return frozenset((one_zone, other_zone)) not in self.partitioned_pairs

    def partition_zone(self, zone: str, others: tuple[str, ...]) -> None:
        """Partition a zone from others, which may include `PLATFORM_ZONE`."""
        self.partitioned_pairs.update(
            frozenset((zone, other)) for other in others if other != zone
        )

    def heal(self) -> None:
        """Remove all partitions."""
        self.partitioned_pairs.clear()

    def draw_copy_count(self) -> int:
        """Draw how many copies of a message between instances arrive."""
        if self.lost_share and self.random.random() < self.lost_share:
            return 0
        if self.duplicated_share and self.random.random() < self.duplicated_share:
            return 2
        return 1
