"""Operations on the metadata store and their replies."""

import attrs

from sassafrasloft.clock import Milliseconds


@attrs.frozen
class TransferLimits:
    """Limits of the transfer of a response, from its first byte on.

    A large response over a slow link takes longer than the timeout of a silent store.

    Parameters
    ----------
    stall_ms : int
        Longest time without any further byte.
    longest_ms : int
        Longest time for all bytes.
    """

    stall_ms: Milliseconds
    longest_ms: Milliseconds


@attrs.frozen
class Item:
    """A key with its value in the store.

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
        """Whether this item records the deletion of the key."""
        return self.revision == 0


@attrs.frozen
class StoreOperation:
    """Base class of the operations on the store."""


@attrs.frozen
class ReadItem(StoreOperation):
    """Reads one key."""

    key: str


@attrs.frozen
class ListItems(StoreOperation):
    """Reads all keys with a prefix; a list that may be stale is cheaper."""

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
    """Requests a lease; the keys attached to it are deleted when it expires."""

    duration_ms: Milliseconds


@attrs.frozen
class KeepLease(StoreOperation):
    """Renews a lease."""

    lease_id: int


@attrs.frozen
class Transaction(StoreOperation):
    """Writes a key if it still has the expected revision (0: key must not exist)."""

    key: str
    expected_revision: int
    value: bytes
    lease_id: int = 0


@attrs.frozen
class StoreReply:
    """Base class of the replies of the store."""


@attrs.frozen
class ListedItems(StoreReply):
    """The items read, and the revision of the store at that time."""

    items: tuple[Item, ...]
    revision: int


@attrs.frozen
class WatchedChanges(StoreReply):
    """Changes in order; after `history_compacted` the keys have to be listed again."""

    changes: tuple[Item, ...]
    revision: int
    history_compacted: bool = False


@attrs.frozen
class LeaseGranted(StoreReply):
    """A lease and its duration; reply to `GrantLease` and `KeepLease`."""

    lease_id: int
    duration_ms: Milliseconds


@attrs.frozen
class TransactionDone(StoreReply):
    """The key was written; it now has this revision."""

    revision: int


@attrs.frozen
class TransactionRefused(StoreReply):
    """The key has another revision; `current` is None if it does not exist."""

    current: Item | None


@attrs.frozen
class StoreFailure(StoreReply):
    """The store gave no usable reply.

    Parameters
    ----------
    reason : str
        Cause of the failure, written to the log.
    not_applied : bool
        Whether the operation certainly had no effect. Otherwise a write may have
        taken effect, or may still do so.
    lease_not_found : bool
        Whether the lease of the operation has expired.
    partly_received : bool
        Whether a part of the reply arrived.
    """

    reason: str
    not_applied: bool = False
    lease_not_found: bool = False
    partly_received: bool = False
