"""A stand-in of the metadata store: keys, revisions, leases and watches; no I/O."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.metadata import (
    GrantLease,
    Item,
    KeepLease,
    LeaseGranted,
    ListedItems,
    ListItems,
    ReadItem,
    StoreFailure,
    StoreOperation,
    StoreReply,
    Transaction,
    TransactionDone,
    TransactionRefused,
    WatchedChanges,
    WatchItems,
)


@attrs.define
class _Lease:
    duration_ms: Milliseconds
    ends_at: Milliseconds


@attrs.define
class _Stored:
    item: Item
    lease_id: int


class MetadataStoreStandin:
    """Keeps items; the caller hands in the time.

    A watch without changes is answered with `None`: the caller asks again when
    `revision` has changed or its waiting time has passed.
    """

    def __init__(self) -> None:
        self.revision = 1
        self._items: dict[str, _Stored] = {}
        self._leases: dict[int, _Lease] = {}
        self._history: list[tuple[int, Item]] = []
        self._oldest = 1
        self._last_lease = 100
        self.calls = 0

    def call(self, operation: StoreOperation, now: Milliseconds) -> StoreReply | None:
        """Carry out an operation."""
        self.calls += 1
        self.expire(now)
        match operation:
            case ReadItem(key):
                items = (self._items[key].item,) if key in self._items else ()
                return ListedItems(items, self.revision)
            case ListItems(prefix):
                return ListedItems(self._listed(prefix), self.revision)
            case WatchItems(prefix, after, _):
                return self._watched(prefix, after)
            case GrantLease(duration_ms):
                self._last_lease += 1
                lease = _Lease(duration_ms, now + duration_ms)
                self._leases[self._last_lease] = lease
                return LeaseGranted(self._last_lease, duration_ms)
            case KeepLease(lease_id):
                return self._keep(lease_id, now)
            case Transaction():
                return self._transact(operation)
        raise TypeError(f"unknown operation {type(operation).__name__}")

    def put(self, key: str, value: bytes, lease_id: int = 0) -> int:
        """Write a key as the operator or a runner does; return the revision."""
        self.revision += 1
        item = Item(key, value, self.revision)
        self._items[key] = _Stored(item, lease_id)
        self._history.append((self.revision, item))
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._history.append((self.revision, Item(key, b"", 0)))

    def forget_history(self) -> None:
        """Drop the history: watches from before it have to list again."""
        self._history.clear()
        self._oldest = self.revision

    def expire(self, now: Milliseconds) -> None:
        """Remove the keys of leases that have ended."""
        ended = [one for one, lease in self._leases.items() if lease.ends_at <= now]
        for lease_id in ended:
            del self._leases[lease_id]
            for key in [
                key for key, one in self._items.items() if one.lease_id == lease_id
            ]:
                self.delete(key)

    def extend_leases(self, duration_ms: Milliseconds) -> None:
        """Let all leases pause, as during an outage."""
        for lease in self._leases.values():
            lease.ends_at += duration_ms

    def _listed(self, prefix: str) -> tuple[Item, ...]:
        return tuple(
            one.item
            for key, one in sorted(self._items.items())
            if key.startswith(prefix)
        )

    def _watched(self, prefix: str, after: int) -> WatchedChanges | None:
        if after < self._oldest:
            return WatchedChanges((), 0, history_compacted=True)
        changes = tuple(
            item
            for revision, item in self._history
            if revision > after and item.key.startswith(prefix)
        )
        return WatchedChanges(changes, self.revision) if changes else None

    def _keep(self, lease_id: int, now: Milliseconds) -> StoreReply:
        lease = self._leases.get(lease_id)
        if lease is None:
            return StoreFailure("no such lease", not_applied=True, lease_not_found=True)
        lease.ends_at = now + lease.duration_ms
        return LeaseGranted(lease_id, lease.duration_ms)

    def _transact(self, operation: Transaction) -> StoreReply:
        current = self._items.get(operation.key)
        revision = current.item.revision if current else 0
        if revision != operation.expected_revision:
            return TransactionRefused(current.item if current else None)
        if operation.lease_id and operation.lease_id not in self._leases:
            return StoreFailure("no such lease", not_applied=True, lease_not_found=True)
        return TransactionDone(
            self.put(operation.key, operation.value, operation.lease_id)
        )
