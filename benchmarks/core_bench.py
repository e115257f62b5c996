"""One decision core without processes or sockets, with its time and bytes."""

from random import Random
from time import process_time_ns

import attrs

from sassafrasloft.core import (
    Blackboard,
    CallPlatform,
    Command,
    Deliver,
    Event,
    IdsRequested,
    IssuedIds,
    JobSubmitted,
    PeerLinkChanged,
    PeerMessageReceived,
    PlatformReplied,
    Probe,
    ProbeReported,
    Reply,
    SendToPeer,
    SetTimer,
    Started,
    TaskReported,
    TimerFired,
)
from sassafrasloft.invariants import InvariantChecker
from sassafrasloft.jobs import (
    JobSpec,
    ReportState,
    RunnerCapacity,
    TaskReport,
    TaskSpec,
)
from sassafrasloft.messages import (
    GrantLease,
    Hello,
    InstanceList,
    KeyValue,
    LeaseState,
    ListInstances,
    ReadKey,
    RenewLease,
)
from sassafrasloft.messages.codec import encode_message
from sassafrasloft.settings import LimitSettings, ServiceSettings
from sassafrasloft.state import Identity
from sassafrasloft.testing import make_settings
from sassafrasloft.testing.services import Deployment, make_core

ZONES = tuple(f"zone-{letter}" for letter in "abcdefgh")
TASK_MS = 200
DEADLINE_MS = 600_000


def service_settings(instances: int, runners: int, teams: int) -> ServiceSettings:
    """Return settings over 8 zones without the bounds that end a measurement."""
    deployment = Deployment("capacity", "region-1", ZONES, 1.0)
    settings = make_settings(deployment, instances, runners, 8, teams)
    limits = LimitSettings(
        max_waiting_tasks=100_000,
        max_queue_wait_ms=DEADLINE_MS,
        max_jobs=20_000,
        max_answers=20_000,
    )
    return attrs.evolve(settings, limits=limits)


def make_job(team: str, tasks: int, run_ms: int = TASK_MS) -> JobSpec:
    """Return a job whose tasks all take the same time."""
    specs = tuple(
        TaskSpec(f"task-{index}", f"run_ms={run_ms}", run_ms) for index in range(tasks)
    )
    return JobSpec(team, specs, DEADLINE_MS)


@attrs.define
class Spent:
    """Processor time of steps of one kind."""

    steps: int = 0
    nanoseconds: int = 0

    @property
    def milliseconds(self) -> float:
        """The processor time."""
        return self.nanoseconds / 1e6


class CoreBench:
    """Drives the first instance of a service and answers its commands at once.

    Parameters
    ----------
    settings : ServiceSettings
        The service; its other instances are peers that only listen.
    peers_up : bool
        Whether the streams to the peers are open.
    """

    def __init__(self, settings: ServiceSettings, peers_up: bool = True) -> None:
        self.settings = settings
        self.now = 10_000
        self.spent: dict[str, Spent] = {}
        self.calls: dict[str, int] = {}
        self.peer_messages: dict[str, int] = {}
        self.peer_bytes: dict[str, int] = {}
        self.answered = 0
        self._requests = 0
        self._ids_team = ""
        self._timers: dict[str, int] = {}
        self._pending: list[Event] = []
        self._deliveries: list[Deliver] = []
        self._ids: dict[str, list[str]] = {}
        self._running = {runner.name: 0 for runner in settings.runners}
        own = settings.instances[0]
        identity = Identity(own.name, own.zone, "0" * 16, b"secret")
        board = Blackboard(identity, settings, Random(1), InvariantChecker(strict=True))
        self._core = make_core(board)
        self.step(Started())
        if peers_up:
            self._open_streams()
        self.advance(200)

    @property
    def board(self) -> Blackboard:
        """The state of the core."""
        return self._core.board

    def step(self, event: Event) -> None:
        """Give the core an event and answer what follows from it."""
        self._pending.append(event)
        while self._pending:
            one = self._pending.pop(0)
            begin = process_time_ns()
            commands = self._core.step(one, self.now)
            used = process_time_ns() - begin
            name = one.name if isinstance(one, TimerFired) else type(one).__name__
            spent = self.spent.setdefault(name, Spent())
            spent.steps += 1
            spent.nanoseconds += used
            for command in commands:
                self._carry_out(command)

    def advance(self, duration_ms: int) -> None:
        """Let time pass and fire the timers that come due."""
        end = self.now + duration_ms
        while self._timers:
            name = min(self._timers, key=self._timers.__getitem__)
            if self._timers[name] > end:
                break
            self.now = max(self.now, self._timers.pop(name))
            self.step(TimerFired(name))
        self.now = end

    def submit(self, team: str, tasks: int) -> None:
        """Hand in a job."""
        ids = self._ids.setdefault(team, [])
        if not ids:
            self._ids_team = team
            self.step(IdsRequested(self._fresh(), team, 20))
        job = make_job(team, tasks)
        self.step(JobSubmitted(self._fresh(), ids.pop(), job, 20_000))

    def complete_one(self) -> int:
        """Report the oldest delivery as complete; return its number of tasks."""
        if not self._deliveries:
            return 0
        delivery = self._deliveries.pop(0)
        for assignment in delivery.assignments:
            self._running[delivery.runner] -= 1
            free = 8 - self._running[delivery.runner]
            capacity = RunnerCapacity(f"{delivery.runner}-i", free)
            report = TaskReport(
                assignment.key, ReportState.COMPLETE, "done", "", TASK_MS
            )
            self.step(
                TaskReported(delivery.runner, delivery.delivery_id, report, capacity)
            )
        return len(delivery.assignments)

    def complete_all(self) -> int:
        """Report everything as complete; return the number of tasks."""
        done = 0
        while self._deliveries:
            done += self.complete_one()
            self.advance(1)
        return done

    def clear(self) -> None:
        """Start new counts."""
        self.spent.clear()
        self.calls.clear()
        self.peer_messages.clear()
        self.peer_bytes.clear()

    def spent_ms(self, name: str = "") -> float:
        """Return the processor time of steps of one name, or of all."""
        if name:
            return self.spent.get(name, Spent()).milliseconds
        return sum(spent.milliseconds for spent in self.spent.values())

    def _fresh(self) -> str:
        self._requests += 1
        return f"request-{self._requests}"

    def _open_streams(self) -> None:
        for place, peer in enumerate(self.settings.instances[1:], 1):
            self.step(PeerLinkChanged(peer.name, True))
            hello = Hello(peer.name, peer.zone, f"{place:016x}")
            self.step(PeerMessageReceived(peer.name, hello))

    def _carry_out(self, command: Command) -> None:
        match command:
            case SetTimer():
                self._timers[command.name] = command.due_ms
            case Probe():
                capacity = RunnerCapacity(f"{command.runner}-i", 8)
                self._pending.append(
                    ProbeReported(command.runner, True, True, capacity)
                )
            case Deliver():
                self._deliveries.append(command)
                self._running[command.runner] += len(command.assignments)
            case Reply(content=IssuedIds()):
                self._ids[self._ids_team].extend(command.content.submission_ids)
            case Reply():
                self.answered += 1
            case SendToPeer():
                kind = type(command.message).__name__
                size = len(encode_message(command.message))
                self.peer_messages[kind] = self.peer_messages.get(kind, 0) + 1
                self.peer_bytes[kind] = self.peer_bytes.get(kind, 0) + size
            case CallPlatform():
                self._call(command)

    def _call(self, command: CallPlatform) -> None:
        call = command.call
        kind = type(call).__name__
        self.calls[kind] = self.calls.get(kind, 0) + 1
        if isinstance(call, GrantLease | RenewLease):
            reply = LeaseState("lease", True)
        elif isinstance(call, ListInstances):
            reply = InstanceList(())
        elif isinstance(call, ReadKey):
            reply = KeyValue(call.key, "", 1)
        else:
            return  # A watch waits.
        self._pending.append(PlatformReplied(command.call_id, reply))
