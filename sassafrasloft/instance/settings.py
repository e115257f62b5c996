"""What an instance is told about itself when it starts."""

import attrs


@attrs.frozen
class InstanceSettings:
    """Addresses and place of an instance.

    Parameters
    ----------
    name : str
    zone : str
        Its availability zone.
    callers_address, readiness_address : str
        ``IP:port`` to listen on.
    peers_address : str
        ``IP:port`` for streams between instances.
    metrics_address : str
        ``IP:port``; empty for none.
    store_address : str
        ``IP:port`` of the metadata store.
    cores : float
        What the instance may use; the strongest instances schedule.
    longest_lease_ms : int
        That runners grant.
    away_factor : float
        How many times as long a task takes away from the rack of its data.
    seeds : tuple of str
        ``IP:port`` for streams of some other instances; they may be gone.
    """

    name: str
    zone: str
    callers_address: str
    readiness_address: str
    peers_address: str
    metrics_address: str
    store_address: str
    cores: float = 1.0
    longest_lease_ms: int = 1_000
    away_factor: float = 1.0
    seeds: tuple[str, ...] = ()
