"""Stand-ins of the platform and a small deployment on loopback, for review scripts.

The store, the runners and the clients follow the users' pages. The instances are the
project's own program, started with the command of the deploy file. Only the standard
library is used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
STORE_ANSWER_MS = 4
HEARTBEAT_MS = 1_500
DRAIN_MS = 2_000
HOLD_MAX_MS = 1_000
STOP_MS = 10
CONTACT_MS = 3_000
CANCEL_MS = 3_000
STOP_TIMEOUT_MS = 50
RESEND_MS = 1_300
RESTART_S = 0.5
"""The short delay after which the platform starts a killed process again."""
SERVICE = "markhost"
ZONES = ("ub-north", "ub-south", "darkhan")
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Failed"}


def now_ms() -> float:
    """Return the steady time of all stand-ins."""
    return time.monotonic() * 1_000


class Record:
    """What was sent, answered and run, in the order of events."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = now_ms()

    def write(self, kind: str, **fields) -> None:
        """Write one line with the milliseconds since the beginning."""
        row = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{now_ms() - self._began:9.1f} {kind} {row}\n")
        self._file.flush()


class HttpServer:
    """A small HTTP/1.1 server; a subclass answers each request."""

    async def start(self, host: str, port: int = 0) -> None:
        """Listen at an address; port 0 takes a free port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {}
                for line in lines:
                    name, found, value = line.partition(":")
                    if found:
                        headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                answer = await self.respond(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3_600)
                status, document = answer
                data = json.dumps(document).encode()
                reason = REASONS.get(status, "Status")
                writer.write(
                    f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            pass
        finally:
            writer.close()

    async def respond(self, method, target, headers, body):
        """Return a status and a JSON document; None for no answer at all."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: items, leases, transactions and watches.

    Parameters
    ----------
    stale_ms : float
        Age of what a `serializable` read returns; the pages allow seconds.
    """

    def __init__(self, stale_ms: float = 0) -> None:
        self.revision = 100
        self.items: dict[str, dict] = {}
        self._history: list[tuple[float, dict]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 0
        self._stale_ms = stale_ms
        self._changed = asyncio.Event()
        self.holders: dict[int, str] = {}
        """By revision of the record, the instance that the record names."""

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item and return its revision."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease": lease,
        }
        self.items[key] = item
        self._note(item)
        if key == "own/scheduler":
            self.holders[self.revision] = json.loads(value)[0]
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event: dict) -> None:
        self._history.append((now_ms(), event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _expire(self) -> None:
        for lease, (until, _) in list(self._leases.items()):
            if until < now_ms():
                del self._leases[lease]
                for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                    self.remove(key)

    async def expire_leases(self) -> None:
        """End leases in time, as long as the script runs."""
        while True:
            self._expire()
            await asyncio.sleep(0.05)

    @property
    def holder(self) -> str:
        """The instance that the present record names; empty if there is none."""
        record = self.items.get("own/scheduler")
        return self.holders[record["revision"]] if record else ""

    def _at(self, when: float) -> dict[str, dict]:
        """Return the items as they were at a time."""
        items = {}
        for at, event in self._history:
            if at > when:
                break
            if event.get("deleted"):
                items.pop(event["key"], None)
            else:
                items[event["key"]] = event
        return items

    async def respond(self, method, target, headers, body):
        """Answer a call after the usual time of the store."""
        await asyncio.sleep(STORE_ANSWER_MS / 1_000)
        self._expire()
        parts = urlsplit(target)
        query = {key: one[0] for key, one in parse_qs(parts.query).items()}
        document = json.loads(body) if body else {}
        name, _, rest = parts.path.removeprefix("/-/").partition("/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"asOf": self.revision}) if item else (404, {})
        if name == "kv-range":
            return 200, self._range(query)
        if name == "kv-watch":
            return 200, await self._watch(query)
        if name == "kv-txn":
            return self._transact(document)
        if name == "kv-lease":
            self._last_lease += 1
            ttl = max(1_000, document["ttlMs"])
            self._leases[self._last_lease] = (now_ms() + ttl, ttl)
            return 200, {"lease": self._last_lease, "ttlMs": ttl}
        if name == "kv-keep":
            lease = self._leases.get(int(rest))
            if lease is None:
                return 404, {}
            self._leases[int(rest)] = (now_ms() + lease[1], lease[1])
            return 200, {"ttlMs": lease[1]}
        return 404, {}

    def _range(self, query: dict) -> dict:
        items, as_of = self.items, self.revision
        if query.get("serializable") == "1" and self._stale_ms:
            items = self._at(now_ms() - self._stale_ms)
            as_of = max((i["revision"] for i in items.values()), default=1)
        prefix, after = query["prefix"], query.get("after", "")
        found = sorted(k for k in items if k.startswith(prefix) and k > after)
        page = [items[key] for key in found[:500]]
        return {"items": page, "morePages": len(found) > 500, "asOf": as_of}

    async def _watch(self, query: dict) -> dict:
        prefix, after = query["prefix"], int(query["after"])
        until = now_ms() + int(query["waitMs"])
        while True:
            events = [
                event
                for _, event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - now_ms()
            if events or left <= 0:
                return {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left / 1_000)
            except TimeoutError:
                continue

    def _transact(self, document: dict):
        expected = document.get("expectedRev", [])
        current = [self.items.get(row["key"]) for row in expected]
        for row, item in zip(expected, current, strict=True):
            if (item["revision"] if item else 0) != row["revision"]:
                none = [{"key": one["key"], "revision": 0} for one in expected]
                rows = [i or n for i, n in zip(current, none, strict=True)]
                return 412, {"items": rows}
        for put in document.get("puts", []):
            if put.get("lease") and put["lease"] not in self._leases:
                return 404, {}
        for put in document.get("puts", []):
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in document.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Run:
    """A run at work on a runner."""

    def __init__(self, task: str, number: int, cpu: int, work_ms: float, sender: str):
        self.task = task
        self.number = number
        self.cpu = cpu
        self.work_ms = work_ms
        self.sender = sender
        self.began = now_ms()
        self.stop_at = 0.0


class Runner(HttpServer):
    """One runner: starts, stops, leases, fencing, and its entry in the store.

    Parameters
    ----------
    name, zone, rack : str
    store : Store
    record : Record
    demands : callable
        By the name of a task, its processor demand and its work in milliseconds.
    """

    def __init__(self, name, zone, rack, store, record, demands) -> None:
        self.name = name
        self.zone = zone
        self.rack = rack
        self.store = store
        self.record = record
        self.demands = demands
        self.cpu = 32_000
        self.state = "ready"
        self.drained_at = 0.0
        self.leaves_at = 0.0
        self.is_gone = False
        self.failing_share = 0.0
        """The share of requests that it answers with 429 while it is unhealthy."""
        self.rejected_stops: set[str] = set()
        self.runs: dict[str, Run] = {}
        self.starts: list[tuple[float, str, str]] = []
        """Time, task and sender of each start."""
        self.ends: list[tuple[float, str, str]] = []
        self._closed: dict[str, int] = {}
        self._finished: list[list] = []
        self._end_number = 0
        self._fence = 0
        self._lease_until = 0.0
        self._clock_base = now_ms() - random.uniform(10_000, 90_000)
        self._born = int(time.time() * 1_000)
        self._seq = 0
        self._ended = asyncio.Event()

    def clock(self) -> float:
        """Return the runner's own steady clock."""
        return now_ms() - self._clock_base

    def register(self) -> None:
        """Write the entry in the store."""
        self._seq += 1
        entry = {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": self._seq,
            "born": self._born,
            "capacity": {"cpu": self.cpu, "memMb": 131_072, "gpu": 0},
            "labels": ["a", self.rack],
        }
        if self.state == "draining":
            left = self.drained_at + DRAIN_MS - now_ms()
            entry["remainingMs"] = max(0, int(left))
        self.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    def drain(self, linger_ms: float) -> None:
        """Report that it drains; leave `linger_ms` after the drain time."""
        self.state = "draining"
        self.drained_at = now_ms()
        self.leaves_at = self.drained_at + DRAIN_MS + linger_ms
        self.register()
        self.record.write("draining", runner=self.name)

    async def live(self) -> None:
        """Renew the entry, end runs in time, and leave when that is due."""
        beat_at = 0.0
        while not self.is_gone:
            now = now_ms()
            if now >= beat_at:
                self.register()
                beat_at = now + HEARTBEAT_MS
            self._advance(now)
            if self.leaves_at and now >= self.leaves_at:
                self.is_gone = True
                self.record.write("left", runner=self.name, runs=len(self.runs))
                self.runs.clear()
                self.store.remove(f"servers/{self.name}")
                self._server.close()
            await asyncio.sleep(0.005)

    def _advance(self, now: float) -> None:
        for run in list(self.runs.values()):
            if run.stop_at and now >= run.stop_at:
                self._end(run, "stopped")
            elif self.clock() >= self._lease_until:
                self._end(run, "lapsed")
            elif now - run.began >= run.work_ms and not run.stop_at:
                self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._closed[run.task] = max(run.number, self._closed.get(run.task, 0))
        self._end_number += 1
        self._finished.append([self._end_number, run.task, run.number, how, ""])
        self.ends.append((now_ms(), run.task, how))
        self.record.write("end", runner=self.name, task=run.task, how=how)
        ended, self._ended = self._ended, asyncio.Event()
        ended.set()

    def _accepts(self, token: int) -> bool:
        if token < self._fence:
            return False
        self._fence = token
        return True

    def _extend(self, deadline: float) -> None:
        granted = min(deadline, self.clock() + HOLD_MAX_MS)
        self._lease_until = max(self._lease_until, granted)

    async def respond(self, method, target, headers, body):
        """Answer a command."""
        if self.is_gone:
            return None
        document = json.loads(body) if body else {}
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, {}
        if self.failing_share and random.random() < self.failing_share:
            if target == "/-/run-stop":
                self.rejected_stops.add(document["task"])
                self.record.write("stop_429", runner=self.name, task=document["task"])
            return 429, {"clockMs": int(self.clock())}
        self._advance(now_ms())
        token = document.get("fencingToken", 0)
        if not self._accepts(token):
            return self._rejected("fence")
        if target == "/-/run-start":
            return self._start(document, token)
        if target == "/-/run-stop":
            return self._stop(document)
        if target == "/-/hold":
            return await self._hold(document)
        return 400, {}

    def _rejected(self, reason: str):
        return 409, {"clockMs": int(self.clock()), "reason": reason}

    def _accepted(self):
        return 200, {"clockMs": int(self.clock())}

    def _start(self, document: dict, token: int):
        task, number = document["task"], document["run"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return self._accepted()
        if known is not None or number <= self._closed.get(task, 0):
            self._extend(document["deadlineMs"])
            return self._rejected("old")
        if document["deadlineMs"] <= self.clock():
            return self._rejected("late")
        cpu, work_ms = self.demands(task)
        self._extend(document["deadlineMs"])
        if cpu + sum(run.cpu for run in self.runs.values()) > self.cpu:
            return self._rejected("room")
        sender = self.store.holders.get(token // 1_000_000, "?")
        self.runs[task] = Run(task, number, cpu, work_ms, sender)
        self.starts.append((now_ms(), task, sender))
        self.record.write(
            "start", runner=self.name, task=task, run=number, sender=sender
        )
        return self._accepted()

    def _stop(self, document: dict):
        task, number = document["task"], document["run"]
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            run.stop_at = run.stop_at or now_ms() + STOP_MS
        self._closed[task] = max(number, self._closed.get(task, 0))
        self.record.write("stop", runner=self.name, task=task, run=number)
        return self._accepted()

    async def _hold(self, document: dict):
        seen = document.get("lastSeen", 0)
        self._finished = [row for row in self._finished if row[0] > seen]
        if document.get("deadlineMs"):
            self._extend(document["deadlineMs"])
        until = now_ms() + document.get("waitMs", 0)
        while not self._finished and now_ms() < until:
            left = (until - now_ms()) / 1_000
            try:
                await asyncio.wait_for(self._ended.wait(), left)
            except TimeoutError:
                break
        now = now_ms()
        running = [
            [one.task, one.number, "", self._percent(one, now), one.cpu]
            for one in self.runs.values()
        ]
        return 200, {
            "clockMs": int(self.clock()),
            "born": self._born,
            "running": running,
            "finished": self._finished[:500],
        }

    @staticmethod
    def _percent(run: Run, now: float) -> int:
        return min(100, int(100 * (now - run.began) / run.work_ms))


class Instance:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, number: int, ports: list[int], store: str, seeds: list[str]):
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"edge-{self.zone}-{number}"
        self.host = f"127.0.77.{number + 1}"
        self.port = ports[0]
        self.disturbed_at = -1e9
        self.process: subprocess.Popen | None = None
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        settings = {
            "nodeName": self.name,
            "role": "instance",
            "machineClass": "edge",
            "serves": ["edge", "control"],
            "ip": self.host,
            "zone": self.zone,
            "region": "mn-central",
            "zones": dict.fromkeys(ZONES, "mn-central"),
            "listen": {
                "front": f"{self.host}:{ports[0]}",
                "ready": f"{self.host}:{ports[1]}",
                "control": f"{self.host}:{ports[2]}",
            },
            "internalPorts": [ports[3], ports[3] + 15],
            "seeds": [f"{one}:{ports[2]}" for one in seeds],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4_100,
                "linkMbps": 1_000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched"],
            "bounds": {
                "contactMs": CONTACT_MS,
                "drainMs": DRAIN_MS,
                "graceS": 6,
                "configApplyMs": 2_000,
                "holdMaxMs": HOLD_MAX_MS,
                "stopTimeoutMs": STOP_TIMEOUT_MS,
                "cancel_ms": CANCEL_MS,
                "remoteFactor": 3,
                "resendMs": RESEND_MS,
            },
            "commands": "invocation",
            "platform": {
                "address": store,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2_000,
                "historyS": 20,
                "valueBytes": 1_048_576,
                "ttlMinMs": 1_000,
            },
        }
        self._settings = self._folder / "node.json"
        self._settings.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["instance"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SASSAFRASLOFT_BOOT": str(self._settings),
        }
        log = (self._folder / "log").open("ab")
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, which counts as a disruption of it."""
        self.disturbed_at = now_ms()
        self.process.send_signal(number)

    async def restart(self) -> None:
        """Start the killed process again after the platform's short delay."""
        await asyncio.to_thread(self.process.wait)
        await asyncio.sleep(RESTART_S)
        self.start()

    def log(self) -> str:
        """Return what the process has written."""
        return (self._folder / "log").read_text(errors="replace")

    def end(self) -> None:
        """Kill the process and remove its folder."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


def free_ports(count: int) -> list[int]:
    """Return ports that are free now, the last one with 15 free ones behind it."""
    sockets = [socket.socket() for _ in range(count - 1)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    while True:
        first = random.randrange(20_000, 30_000, 16)
        if all(map(_is_free, range(first, first + 16))):
            return [*ports, first]


def _is_free(port: int) -> bool:
    """Return whether no process listens to a port, at any address."""
    with socket.socket() as candidate:
        try:
            candidate.bind(("0.0.0.0", port))
        except OSError:
            return False
    return True


async def call(host, port, method, path, headers=(), document=None, timeout_s=30):
    """Send one request on a new connection; return its status and body.

    The status is 0 if the connection ends without an answer, or in time.
    """
    body = json.dumps(document).encode() if document is not None else b""
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers)]
    if body:
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body)}")
    request = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(request)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            size = 0
            for line in head.split("\r\n"):
                if line.lower().startswith("content-length:"):
                    size = int(line.partition(":")[2])
            data = await reader.readexactly(size)
            return int(head.split(" ")[1]), data.decode()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0, ""
    finally:
        if writer is not None:
            writer.close()


class Deployment:
    """The store, the runners and the instances of one script."""

    def __init__(self, record: Record, stale_ms: float = 0) -> None:
        self.record = record
        self.store = Store(stale_ms)
        self.instances: list[Instance] = []
        self.runners: list[Runner] = []
        self.demands: dict[str, tuple[int, float]] = {}
        """By job, the processor demand and the work of each of its tasks."""
        self.route = f"/lohu{random.randrange(1_000)}/"
        self.host_name = f"nony{random.randrange(100)}.example"
        self.answers: dict[str, list[tuple[float, int, str]]] = {}
        """By job, the time, status and body of each answer to a POST."""
        self._tasks: list[asyncio.Task] = []

    def run_in_background(self, coroutine) -> asyncio.Task:
        """Run a coroutine until the script ends."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.append(task)
        return task

    async def start(self, instances: int, runners: int, timeout_ms: int) -> None:
        """Start everything and wait until all instances are ready."""
        await self.store.start("127.0.0.1")
        self.run_in_background(self.store.expire_leases())
        configuration = {
            "version": 7,
            "routes": [
                {
                    "name": "q1",
                    "host": self.host_name,
                    "prefix": self.route,
                    "service": SERVICE,
                    "priority": 1,
                    "attempts": 3,
                    "slackFactor": 1.0,
                    "targetLatencyMs": 60,
                    "timeoutMs": timeout_ms,
                }
            ],
            "services": [
                {"name": SERVICE, "maxConnections": 64, "enforcesCapacity": True}
            ],
            "limits": {},
        }
        self.store.put("op/config", json.dumps(configuration).encode())
        for number in range(runners):
            await self.add_runner(number)
        ports = free_ports(4)
        seeds = [f"127.0.77.{number + 1}" for number in range(3)]
        for number in range(instances):
            one = Instance(number, ports, self.store.address, seeds)
            self.instances.append(one)
            one.start()
        self.ready_port = ports[1]
        until = now_ms() + 20_000
        while now_ms() < until:
            ready = [await self.is_ready(one) for one in self.instances]
            if all(ready):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the instances did not become ready in 20 s")

    async def add_runner(self, number: int) -> Runner:
        """Start a runner and register it."""
        name = f"i-{random.getrandbits(32):08x}"
        zone = ZONES[number % len(ZONES)]
        rack = f"r{number % len(ZONES)}-{number // 24}"
        one = Runner(name, zone, rack, self.store, self.record, self._demand_of)
        await one.start("127.0.0.1")
        self.run_in_background(one.live())
        self.runners.append(one)
        return one

    def _demand_of(self, task: str) -> tuple[int, float]:
        return self.demands[task.partition(".")[0]]

    async def is_ready(self, one: Instance) -> bool:
        """Ask as the load balancer does."""
        status, _ = await call(
            one.host, self.ready_port, "GET", "/-/readyz", timeout_s=1
        )
        return status == 200

    @property
    def scheduler(self) -> Instance | None:
        """The instance that the record in the store names."""
        names = {one.name: one for one in self.instances}
        return names.get(self.store.holder)

    def new_job(self, count: int, cpu: int, work_ms: float) -> tuple[str, dict]:
        """Return the id and the document of a new job."""
        job = f"{random.getrandbits(64):016x}"
        self.demands[job] = (cpu, work_ms)
        step = {"count": count, "cpu": cpu, "memMb": 64, "estimateMs": int(work_ms)}
        return job, {"spec": "(text)", "bestEffort": True, "steps": [step]}

    async def submit(self, one: Instance, job: str, document: dict, wait_ms: int):
        """Send a job and return the status and the body of the answer."""
        headers = (("Host", self.host_name), ("X-Deadline-Ms", wait_ms))
        self.record.write("post", job=job, to=one.name)
        status, body = await call(
            one.host,
            one.port,
            "POST",
            self.route + job,
            headers,
            document,
            wait_ms / 1_000 + 0.5,
        )
        self.answers.setdefault(job, []).append((now_ms(), status, body))
        self.record.write("answer", job=job, status=status, body=body)
        return status, body

    async def cancel(self, one: Instance, job: str) -> int:
        """Cancel a job and return the status of the answer."""
        self.record.write("delete", job=job, to=one.name)
        headers = (("Host", self.host_name),)
        status, body = await call(
            one.host, one.port, "DELETE", self.route + job, headers, timeout_s=4
        )
        self.record.write("deleted", job=job, status=status, body=body)
        return status

    def stop(self) -> None:
        """End all processes that were started."""
        for one in self.instances:
            one.end()


def main(case, folder: Path, stale_ms: float = 0) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise.

    Parameters
    ----------
    case : callable
        A coroutine function that gets the deployment and whether there is trouble,
        and returns a list of violations.
    folder : Path
        Where `record.txt` is written.
    stale_ms : float
        Age of the store's serializable reads.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write("begin", trouble=trouble)

    async def run() -> list[str]:
        deployment = Deployment(record, stale_ms)
        try:
            async with asyncio.timeout(110):
                return await case(deployment, trouble)
        finally:
            logs = os.environ.get("LOGS")
            for one in deployment.instances if logs else ():
                Path(logs, f"{one.name}.log").write_text(one.log())
            deployment.stop()

    try:
        violations = asyncio.run(run())
    except Exception as error:
        record.write("could_not_run", error=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(2)
    for one in violations:
        record.write("violation", text=one)
        print(one)
    record.write("finish", violations=len(violations))
    sys.exit(1 if violations else 0)
