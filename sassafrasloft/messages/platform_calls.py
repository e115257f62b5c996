"""Calls to the service of the platform, and its replies."""

import attrs

from sassafrasloft.clock import Milliseconds


@attrs.frozen
class PlatformCall:
    """Base class of calls to the platform."""


@attrs.frozen
class ReadKey(PlatformCall):
    """Reads a key."""

    key: str


@attrs.frozen
class WriteKey(PlatformCall):
    """Writes a key if it has the expected revision; 0 means that it is absent."""

    key: str
    value: str
    expected_revision: int
    lease_id: str = ""


@attrs.frozen
class WatchKey(PlatformCall):
    """Waits until a key's revision exceeds a given one or the wait times out."""

    key: str
    after_revision: int
    wait_ms: Milliseconds


@attrs.frozen
class GrantLease(PlatformCall):
    """Requests a lease and registers this instance in the platform's list."""

    instance: str
    incarnation: str
    zone: str
    ttl_ms: Milliseconds


@attrs.frozen
class RenewLease(PlatformCall):
    """Renews a lease and reports whether the instance is leaving."""

    lease_id: str
    leaving: bool = False


@attrs.frozen
class ListInstances(PlatformCall):
    """Requests the list of live and leaving instances and runners."""


@attrs.frozen
class PlatformReply:
    """Base class of replies of the platform."""


@attrs.frozen
class Unavailable(PlatformReply):
    """The call got no reply or an error; a write may still have taken effect."""

    reason: str = ""


@attrs.frozen
class KeyValue(PlatformReply):
    """The value of a key; if absent, the value is empty and the revision 0."""

    key: str
    value: str
    revision: int


@attrs.frozen
class Written(PlatformReply):
    """A write took effect."""

    key: str
    revision: int


@attrs.frozen
class WriteConflict(PlatformReply):
    """The key had another revision than expected; nothing was written."""

    key: str
    revision: int


@attrs.frozen
class LeaseState(PlatformReply):
    """Whether a lease is still held or has expired."""

    lease_id: str
    held: bool


@attrs.frozen
class ListedInstance:
    """An entry of the platform's list.

    Parameters
    ----------
    role : str
        ``entry`` or ``runner``.
    state : str
        ``live``, ``leaving`` or ``lapsed``.
    lapsed_ms : Milliseconds
        Time since the lease expired; 0 if it has not.
    """

    name: str
    role: str
    zone: str
    incarnation: str
    state: str
    address: str = ""
    lapsed_ms: Milliseconds = 0


@attrs.frozen
class InstanceList(PlatformReply):
    """The platform's list, which may be out of date."""

    entries: tuple[ListedInstance, ...]
