"""Operations of the metadata store and their replies."""

import attrs

from sassafrasloft.clock import Milliseconds


@attrs.frozen
class Item:
    """A key with its value.

    Parameters
    ----------
    key : str
    value : bytes
    revision : int
        The store's revision at the last change; 0 if the key was deleted.
    """

    key: str
    value: bytes
    revision: int

    @property
    def deleted(self) -> bool:
        """Whether this stands for the end of the key."""
        return self.revision == 0


@attrs.frozen
class StoreOperation:
    """Base class of the operations."""


@attrs.frozen
class ReadItem(StoreOperation):
    """Reads one key."""

    key: str


@attrs.frozen
class ListItems(StoreOperation):
    """Reads all keys with a prefix; a stale list is cheaper."""

    prefix: str
    may_be_stale: bool = False


@attrs.frozen
class WatchItems(StoreOperation):
    """Waits for changes of keys with a prefix after a revision."""

    prefix: str
    after_revision: int
    wait_ms: Milliseconds


@attrs.frozen
class GrantLease(StoreOperation):
    """Asks for a lease; the keys written under it go when it ends."""

    duration_ms: Milliseconds


@attrs.frozen
class KeepLease(StoreOperation):
    """Renews a lease."""

    lease_id: int


@attrs.frozen
class Transaction(StoreOperation):
    """Writes one key if it still has the expected revision (0: not there)."""

    key: str
    expected_revision: int
    value: bytes
    lease_id: int = 0


@attrs.frozen
class StoreReply:
    """Base class of the replies."""


@attrs.frozen
class ListedItems(StoreReply):
    """The items read, and the store's revision then."""

    items: tuple[Item, ...]
    revision: int


@attrs.frozen
class WatchedChanges(StoreReply):
    """Changes in their order; `lost_history` asks for a new list."""

    changes: tuple[Item, ...]
    revision: int
    lost_history: bool = False


@attrs.frozen
class LeaseGranted(StoreReply):
    """A lease and its duration; also the reply to a renewal."""

    lease_id: int
    duration_ms: Milliseconds


@attrs.frozen
class TransactionDone(StoreReply):
    """The write took effect with this revision."""

    revision: int


@attrs.frozen
class TransactionRefused(StoreReply):
    """The key has another revision; `current` is None if it is not there."""

    current: Item | None


@attrs.frozen
class StoreFailure(StoreReply):
    """No usable answer.

    Parameters
    ----------
    reason : str
        For the log.
    not_done : bool
        Whether the store said that nothing was done. Otherwise a write may have
        taken effect, or may still do so.
    no_such_lease : bool
        Whether the lease of the call has ended.
    """

    reason: str
    not_done: bool = False
    no_such_lease: bool = False
