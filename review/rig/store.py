"""The platform's metadata store, by the published protocol."""

import asyncio
import contextlib
from base64 import b64decode, b64encode
from dataclasses import dataclass

from rig.http import Request, Server, now

ANSWER_S = 0.004
PAGE_ITEMS = 500


@dataclass
class Item:
    """One key of the store."""

    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """Keys with revisions, leases and watches; `turned_away` gets 503 by address."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, Item] = {}
        self.history: list[tuple[int, str, Item | None]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 100
        self.changed = asyncio.Event()
        self.turned_away: set[tuple[str, int]] = set()
        self._servers: list[Server] = []

    async def listen(self, host: str, port: int) -> None:
        """Serve the store at one more address, so that callers can be told apart."""

        async def handler(request: Request) -> tuple[int, dict] | None:
            if (host, port) in self.turned_away:
                return 503, {}
            return await self._answer(request, (host, port))

        server = Server(handler)
        await server.listen(host, port)
        self._servers.append(server)

    def close(self) -> None:
        """Close all listeners and connections."""
        for server in self._servers:
            server.close()

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, as the operator or a runner does."""
        revision = self._put(key, value, lease)
        self._notify()
        return revision

    async def remove(self, key: str) -> None:
        """Remove a key."""
        self._remove(key)
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _put(self, key: str, value: bytes, lease: int) -> int:
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = Item(value, self.revision, created, lease)
        self.items[key] = item
        self.history.append((self.revision, key, item))
        return self.revision

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append((self.revision, key, None))

    def _expire(self) -> None:
        for lease, (ends_at, _) in list(self.leases.items()):
            if ends_at <= now():
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, one in self.items.items() if one.lease == lease]:
            self._remove(key)

    async def _answer(
        self, request: Request, at: tuple[str, int]
    ) -> tuple[int, dict] | None:
        await asyncio.sleep(ANSWER_S)
        self._expire()
        name, _, argument = request.path.removeprefix("/-/").partition("/")
        match name:
            case "kv-key":
                return self._key(request.query["key"])
            case "kv-range":
                return self._range(request)
            case "kv-watch":
                return await self._watch(request, at)
            case "kv-txn":
                answer = self._transact(request.json())
                self._notify()
                return answer
            case "kv-lease":
                ttl = request.json()["ttlMs"]
                self.last_lease += 1
                self.leases[self.last_lease] = (now() + ttl / 1_000, ttl)
                return 200, {"lease": self.last_lease, "ttlMs": ttl}
            case "kv-keep":
                return self._keep(int(argument))
            case "kv-lease-end":
                self._end_lease(int(argument))
                self._notify()
                return 200, {}
        return 400, {}

    def _document(self, key: str, item: Item) -> dict:
        return {
            "key": key,
            "value": b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def _key(self, key: str) -> tuple[int, dict]:
        item = self.items.get(key)
        if item is None:
            return 404, {"asOf": self.revision}
        return 200, self._document(key, item) | {"asOf": self.revision}

    def _range(self, request: Request) -> tuple[int, dict]:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        rows = [self._document(key, self.items[key]) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": rows, "morePages": more, "asOf": self.revision}

    async def _watch(
        self, request: Request, at: tuple[str, int]
    ) -> tuple[int, dict] | None:
        prefix, after = request.query["prefix"], int(request.query["after"])
        ends_at = now() + int(request.query["waitMs"]) / 1_000
        while True:
            if at in self.turned_away:
                return 503, {}
            self._expire()
            rows = [
                self._document(key, item)
                if item
                else {"key": key, "revision": revision, "deleted": True}
                for revision, key, item in self.history
                if revision > after and key.startswith(prefix)
            ]
            left = ends_at - now()
            if rows or left <= 0:
                return 200, {"events": rows, "asOf": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(left, 0.05))

    def _transact(self, document: dict) -> tuple[int, dict]:
        expected = document.get("expectedRev", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": [self._present(one["key"]) for one in expected]}
        puts = document.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        for put in puts:
            self._put(put["key"], b64decode(put["value"]), put.get("lease", 0))
        for key in document.get("remove", []):
            self._remove(key)
        return 200, {"revision": self.revision}

    def _present(self, key: str) -> dict:
        item = self.items.get(key)
        return self._document(key, item) if item else {"key": key, "revision": 0}

    def _keep(self, lease: int) -> tuple[int, dict]:
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][1]
        self.leases[lease] = (now() + ttl / 1_000, ttl)
        return 200, {"ttlMs": ttl}
