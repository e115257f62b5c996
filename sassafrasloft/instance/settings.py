"""The settings with which an instance is started."""

import attrs


@attrs.frozen
class InstanceSettings:
    """The addresses, location and capacity of an instance.

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
        Processor cores that the instance may use; instances with most cores are
        preferred as the scheduler.
    longest_lease_ms : int
        Longest lease that runners grant.
    away_factor : float
        Factor on the duration of a task that runs outside the rack of its data.
    seeds : tuple of str
        ``IP:port`` for streams to some other instances, which may no longer exist.
    memory_mb, descriptors : int
        Memory and descriptors that the process may use; 0 if they are not known.
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
    memory_mb: int = 0
    descriptors: int = 0
