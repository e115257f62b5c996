"""Access to the store of the configuration, the leadership and the runner list."""

from sassafrasloft.metadata.operations import (
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
    TransferLimits,
    WatchedChanges,
    WatchItems,
)

__all__ = [
    "GrantLease",
    "Item",
    "KeepLease",
    "LeaseGranted",
    "ListItems",
    "ListedItems",
    "ReadItem",
    "StoreFailure",
    "StoreOperation",
    "StoreReply",
    "Transaction",
    "TransactionDone",
    "TransactionRefused",
    "TransferLimits",
    "WatchItems",
    "WatchedChanges",
]
