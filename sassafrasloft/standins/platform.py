"""The logic of the stand-in platform, free of I/O.

Keys with compare-and-swap and revisions, leases, a list of instances that lags
behind, a token bucket for calls, and faults.
"""

from collections import deque

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.messages.platform_calls import (
    KeyValue,
    LeaseState,
    ListedInstance,
    WriteConflict,
    Written,
)

MAX_VALUE_BYTES = 1_000_000

LAPSED_KEPT_MS = 600_000
"""How long a lapsed instance stays in the list."""


@attrs.frozen
class PlatformLimits:
    """Rates and lags of the service.

    Parameters
    ----------
    calls_per_second, burst : float
        The token bucket of all calls.
    list_lag_ms : Milliseconds
        How far the list of instances is behind.
    """

    calls_per_second: float = 2_000
    burst: float = 2_000
    list_lag_ms: Milliseconds = 1_000


@attrs.define
class PlatformFaults:
    """The faults that a test or an operator switches on.

    Parameters
    ----------
    outage : bool
        Every call is refused with 503.
    slow_ms : Milliseconds
        Delay of every answer.
    lose_writes : int
        So many of the next writes take effect without an answer.
    """

    outage: bool = False
    slow_ms: Milliseconds = 0
    lose_writes: int = 0


@attrs.define
class Lease:
    """One granted lease."""

    lease_id: str
    name: str
    incarnation: str
    zone: str
    ttl_ms: Milliseconds
    expires_ms: Milliseconds
    leaving: bool = False


@attrs.frozen
class ListChange:
    """What the list says of an instance from a time on."""

    at_ms: Milliseconds
    entry: ListedInstance
    expires_ms: Milliseconds


@attrs.define
class _Stored:
    value: str
    revision: int
    lease_id: str = ""


class PlatformLogic:
    """State of the stand-in platform.

    Parameters
    ----------
    limits : PlatformLimits
        Rates and lags.
    """

    def __init__(self, limits: PlatformLimits) -> None:
        self.faults = PlatformFaults()
        self.calls: dict[str, int] = {}
        self._limits = limits
        self._keys: dict[str, _Stored] = {}
        self._revision = 0
        self._leases: dict[str, Lease] = {}
        self._changes: dict[str, deque[ListChange]] = {}
        self._tokens = limits.burst
        self._tokens_ms: Milliseconds = 0

    def admit(self, call: str, now: Milliseconds) -> int:
        """Count a call; return 200, or 429 or 503 if it is refused."""
        self.calls[call] = self.calls.get(call, 0) + 1
        self.expire(now)
        if self.faults.outage:
            return 503
        gained = (now - self._tokens_ms) * self._limits.calls_per_second / 1000
        self._tokens = min(self._limits.burst, self._tokens + gained)
        self._tokens_ms = now
        if self._tokens < 1:
            return 429
        self._tokens -= 1
        return 200

    def read(self, key: str) -> KeyValue:
        """Return a key; revision 0 if it is absent."""
        stored = self._keys.get(key)
        if stored is None:
            return KeyValue(key, "", 0)
        return KeyValue(key, stored.value, stored.revision)

    def write(
        self, key: str, value: str, expected_revision: int, lease_id: str = ""
    ) -> Written | WriteConflict:
        """Write a key if its revision is the expected one; 0 means absent."""
        present = self.read(key).revision
        if present != expected_revision:
            return WriteConflict(key, present)
        self._revision += 1
        self._keys[key] = _Stored(value, self._revision, lease_id)
        return Written(key, self._revision)

    def delete(self, key: str, expected_revision: int) -> Written | WriteConflict:
        """Delete a key if its revision is the expected one."""
        present = self.read(key).revision
        if present != expected_revision:
            return WriteConflict(key, present)
        self._keys.pop(key, None)
        return Written(key, 0)

    def holds_lease(self, lease_id: str) -> bool:
        """Return whether a lease is held."""
        return lease_id in self._leases

    def grant(
        self,
        lease_id: str,
        name: str,
        incarnation: str,
        zone: str,
        ttl_ms: Milliseconds,
        now: Milliseconds,
    ) -> LeaseState:
        """Grant a lease; an older one of the same instance ends."""
        for held in [one for one in self._leases.values() if one.name == name]:
            self._drop(held)
        lease = Lease(lease_id, name, incarnation, zone, ttl_ms, now + ttl_ms)
        self._leases[lease_id] = lease
        self._list(lease, now)
        return LeaseState(lease_id, held=True)

    def renew(self, lease_id: str, leaving: bool, now: Milliseconds) -> LeaseState:
        """Renew a lease that is still held."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return LeaseState(lease_id, held=False)
        lease.leaving = leaving
        lease.expires_ms = now + lease.ttl_ms
        self._list(lease, now)
        return LeaseState(lease_id, held=True)

    def expire(self, now: Milliseconds) -> bool:
        """End lapsed leases and delete their keys; return whether one ended."""
        lapsed = [one for one in self._leases.values() if one.expires_ms <= now]
        for lease in lapsed:
            self._drop(lease)
        return bool(lapsed)

    def enter(self, entry: ListedInstance, now: Milliseconds) -> None:
        """Put an entry into the list without a lease, such as a runner's."""
        self._append(ListChange(now, entry, expires_ms=-1))

    def instances(self, now: Milliseconds) -> tuple[ListedInstance, ...]:
        """Return the list as it was `list_lag_ms` ago."""
        seen_ms = now - self._limits.list_lag_ms
        entries = []
        for changes in self._changes.values():
            entry = self._entry_at(changes, seen_ms)
            if entry is not None and entry.lapsed_ms < LAPSED_KEPT_MS:
                entries.append(entry)
        return tuple(entries)

    def _list(self, lease: Lease, now: Milliseconds) -> None:
        entry = ListedInstance(
            name=lease.name,
            role="entry",
            zone=lease.zone,
            incarnation=lease.incarnation,
            state="leaving" if lease.leaving else "live",
        )
        self._append(ListChange(now, entry, lease.expires_ms))

    def _append(self, change: ListChange) -> None:
        key = f"{change.entry.role}/{change.entry.name}"
        changes = self._changes.setdefault(key, deque())
        changes.append(change)
        limit = change.at_ms - self._limits.list_lag_ms
        while len(changes) > 1 and changes[1].at_ms <= limit:
            changes.popleft()

    @staticmethod
    def _entry_at(
        changes: deque[ListChange], seen_ms: Milliseconds
    ) -> ListedInstance | None:
        past = [change for change in changes if change.at_ms <= seen_ms]
        if not past:
            return None
        last = past[-1]
        if last.expires_ms < 0 or last.expires_ms > seen_ms:
            return last.entry
        lapsed_ms = seen_ms - last.expires_ms
        return attrs.evolve(last.entry, state="lapsed", lapsed_ms=lapsed_ms)

    def _drop(self, lease: Lease) -> None:
        del self._leases[lease.lease_id]
        tied = [
            key for key, one in self._keys.items() if one.lease_id == lease.lease_id
        ]
        for key in tied:
            del self._keys[key]
