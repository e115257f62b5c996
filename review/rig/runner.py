"""A runner of the platform: starts, stops, leases, fencing and its store entry."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from rig.http import Request, Server, now
from rig.store import Store

HOLD_MAX_MS = 1_000
STOP_S = 0.04
HEARTBEAT_S = 1.5
MAX_WAIT_MS = 2_000


@dataclass
class Work:
    """What a task needs and how long it takes."""

    millicores: int
    duration_s: float


@dataclass
class Run:
    """A run of a task on a runner."""

    task: str
    number: int
    work: Work
    started_at: float
    stops_at: float = float("inf")

    @property
    def ends_at(self) -> float:
        """When its work is done."""
        return self.started_at + self.work.duration_s


@dataclass
class Life:
    """One incarnation of a runner: it holds and knows nothing of before."""

    service: str
    labels: list[str]
    millicores: int
    born: int = field(default_factory=lambda: int(time.time() * 1_000))
    started_at: float = field(default_factory=now)
    token: int = 0
    lease_ends_ms: float = 0
    running: dict[str, Run] = field(default_factory=dict)
    highest: dict[str, int] = field(default_factory=dict)
    finished: list[list] = field(default_factory=list)
    last_end: int = 0
    state: str = "ready"

    def clock_ms(self) -> int:
        """Return the runner's own steady clock, which starts anew with each life."""
        return int((now() - self.started_at) * 1_000) + 1_000


class Runner:
    """A runner; `on_start` and `on_end` are told of all runs.

    Parameters
    ----------
    runner_id, zone : str
    address : tuple
        Where it listens.
    store : Store
        Where it registers itself.
    work_of : callable
        Returns what a task needs, by the task's name.
    """

    def __init__(
        self,
        runner_id: str,
        zone: str,
        address: tuple[str, int],
        store: Store,
        work_of: Callable[[str], Work],
    ) -> None:
        self.runner_id = runner_id
        self.zone = zone
        self.address = address
        self.life: Life | None = None
        self.on_start: Callable[[Runner, Run, str], None] | None = None
        self.on_end: Callable[[Runner, Run, str], None] | None = None
        self._store = store
        self._work_of = work_of
        self._server: Server | None = None
        self._changed = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._seq = 0

    async def start(
        self, service: str, labels: list[str], millicores: int = 32_000
    ) -> None:
        """Begin a life: register, listen and send heartbeats."""
        self.life = Life(service, labels, millicores)
        await self.register()
        self._server = Server(self._answer)
        await self._server.listen(*self.address)
        self._task = asyncio.create_task(self._live(self.life))

    def crash(self) -> None:
        """End the life at once; nothing is sent and all runs are gone."""
        life, self.life = self.life, None
        if life is None:
            return
        self._task.cancel()
        self._server.close(reset=True)
        for run in list(life.running.values()):
            if self.on_end:
                self.on_end(self, run, "crashed")

    async def drain(self) -> None:
        """Report that the runner is about to leave; return when that is stored."""
        self.life.state = "draining"
        await self.register()

    async def register(self) -> None:
        """Write the runner's entry."""
        life = self.life
        self._seq += 1
        document = {
            "service": life.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": life.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": life.millicores, "memMb": 131_072, "gpu": 0},
            "labels": life.labels,
            "clockMs": life.clock_ms(),
            "born": life.born,
            "seq": self._seq,
        }
        value = json.dumps(document).encode()
        await self._store.put(f"servers/{self.runner_id}", value)

    async def _live(self, life: Life) -> None:
        next_heartbeat = now() + HEARTBEAT_S
        while True:
            await asyncio.sleep(0.005)
            self._advance(life)
            if now() >= next_heartbeat:
                next_heartbeat = now() + HEARTBEAT_S
                await self.register()

    def _advance(self, life: Life) -> None:
        for run in list(life.running.values()):
            if run.stops_at <= now():
                self._end(life, run, "stopped")
            elif run.ends_at <= now():
                self._end(life, run, "done")
            elif life.clock_ms() >= life.lease_ends_ms:
                self._end(life, run, "lapsed")

    def _end(self, life: Life, run: Run, how: str) -> None:
        del life.running[run.task]
        life.last_end += 1
        life.finished.append([life.last_end, run.task, run.number, how, ""])
        self._signal()
        if self.on_end:
            self.on_end(self, run, how)

    def _signal(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: Request) -> tuple[int, dict] | None:
        life = self.life
        if life is None:
            return None
        if request.headers.get("x-expected-instance", "") != self.runner_id:
            return 421, {}
        self._advance(life)
        document = request.json()
        token = document.get("fencingToken", 0)
        if token < life.token:
            return self._refusal(life, "fence")
        life.token = token
        match request.path:
            case "/-/run-start":
                return self._start_run(life, document)
            case "/-/run-stop":
                return self._stop_run(life, document)
            case "/-/hold":
                return await self._hold(life, document)
        return 404, {}

    def _refusal(self, life: Life, reason: str) -> tuple[int, dict]:
        return 409, {"clockMs": life.clock_ms(), "reason": reason}

    def _prolong(self, life: Life, deadline_ms: int) -> None:
        longest = life.clock_ms() + HOLD_MAX_MS
        life.lease_ends_ms = max(life.lease_ends_ms, min(deadline_ms, longest))

    def _start_run(self, life: Life, document: dict) -> tuple[int, dict]:
        task, number = document["task"], document["run"]
        deadline_ms = document["deadlineMs"]
        known = life.running.get(task)
        if known is not None and known.number == number:
            self._prolong(life, deadline_ms)
            return 200, {"clockMs": life.clock_ms()}
        if number <= life.highest.get(task, 0) or known is not None:
            self._prolong(life, deadline_ms)
            return self._refusal(life, "old")
        if deadline_ms <= life.clock_ms():
            return self._refusal(life, "late")
        self._prolong(life, deadline_ms)
        work = self._work_of(task)
        used = sum(run.work.millicores for run in life.running.values())
        if used + work.millicores > life.millicores:
            return self._refusal(life, "room")
        run = Run(task, number, work, now())
        life.highest[task] = number
        life.running[task] = run
        if self.on_start:
            self.on_start(self, run, document["spec"])
        return 200, {"clockMs": life.clock_ms()}

    def _stop_run(self, life: Life, document: dict) -> tuple[int, dict]:
        task, number = document["task"], document["run"]
        life.highest[task] = max(life.highest.get(task, 0), number)
        run = life.running.get(task)
        if run is not None and run.number <= number:
            run.stops_at = min(run.stops_at, now() + STOP_S)
        return 200, {"clockMs": life.clock_ms()}

    async def _hold(self, life: Life, document: dict) -> tuple[int, dict] | None:
        if "deadlineMs" in document:
            self._prolong(life, document["deadlineMs"])
        seen = document["lastSeen"]
        life.finished = [row for row in life.finished if row[0] > seen]
        ends_at = now() + min(document.get("waitMs", 0), MAX_WAIT_MS) / 1_000
        while not life.finished and now() < ends_at:
            try:
                await asyncio.wait_for(self._changed.wait(), ends_at - now())
            except TimeoutError:
                break
        if self.life is not life:
            return None
        if document.get("fencingToken", 0) < life.token:
            return self._refusal(life, "fence")
        running = [
            [
                run.task,
                run.number,
                "",
                int(100 * (now() - run.started_at) / run.work.duration_s),
                run.work.millicores,
            ]
            for run in life.running.values()
        ]
        return 200, {
            "clockMs": life.clock_ms(),
            "born": life.born,
            "running": running,
            "finished": life.finished[:500],
        }
