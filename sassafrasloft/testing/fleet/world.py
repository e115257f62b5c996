"""A fleet of decision cores with stand-ins, driven by one event queue."""

from collections.abc import Callable
from random import Random

import attrs
import msgpack

from sassafrasloft.blackboard import (
    Command,
    DecisionCore,
    Event,
    SetTimer,
    Started,
    TimerFired,
)
from sassafrasloft.clock import Milliseconds
from sassafrasloft.gateway import CallerAnswer
from sassafrasloft.instance.assembly import create_instance
from sassafrasloft.instance.commands import (
    AnswerCaller,
    CallRunner,
    CallStore,
    CloseStream,
    ExitProcess,
    OpenStream,
    SendMessage,
    SetReadiness,
    WriteLog,
)
from sassafrasloft.instance.events import (
    CallerGone,
    JobRequested,
    MessageReceived,
    RunnerReplied,
    StopRequested,
    StoreReplied,
    StreamClosed,
    StreamOpened,
)
from sassafrasloft.instance.messages import decode_message, encode_message
from sassafrasloft.instance.settings import InstanceSettings
from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.metadata import StoreFailure, StoreReply, WatchedChanges, WatchItems
from sassafrasloft.runs import (
    HoldReply,
    HoldRuns,
    OrderOutcome,
    RunnerEntry,
    RunnerReply,
    StartReply,
    StartRun,
    StopReply,
    StopRun,
)
from sassafrasloft.standins.lease_runner import LeaseRunnerStandin, StandinTask
from sassafrasloft.standins.metadata_store import MetadataStoreStandin
from sassafrasloft.testing.event_queue import EventQueue
from sassafrasloft.testing.fleet.auditing import FleetAudit
from sassafrasloft.testing.fleet.documents import JsonDocuments
from sassafrasloft.workload import (
    JobRequest,
    Resources,
    Route,
    ServiceConfiguration,
    StepRequest,
)

UPTIME_MS = 5_000_000
HOP_MS = 1.0
STORE_MS = 2.0
STORE = "store"
HOST = "callers.example"
SERVICE = "desk"
_REPLIES = {StartRun: StartReply, StopRun: StopReply, HoldRuns: HoldReply}


@attrs.define(eq=False)
class TestJob:
    """A job that a test hands in, and its answers."""

    __test__ = False

    job: JobRequest
    route: Route
    submitted_at: Milliseconds
    answers: list[tuple[Milliseconds, CallerAnswer]] = attrs.field(factory=list)
    open: int = 0

    @property
    def answer(self) -> CallerAnswer | None:
        """The first answer."""
        return self.answers[0][1] if self.answers else None

    @property
    def waited_ms(self) -> float:
        """The time until the first answer."""
        return self.answers[0][0] - self.submitted_at


@attrs.define(eq=False)
class Instance:
    """One process of an instance."""

    name: str
    zone: str
    address: str
    core: DecisionCore
    timers: dict[str, int] = attrs.field(factory=dict)
    alive: bool = True
    frozen: bool = False
    ready: bool = False
    held: list[Event] = attrs.field(factory=list)
    streams: dict[int, tuple["Instance", int]] = attrs.field(factory=dict)
    """The other process and its id of the stream."""
    requests: dict[int, TestJob] = attrs.field(factory=dict)
    log: list[tuple[float, WriteLog]] = attrs.field(factory=list)
    next_stream: int = 1 << 40


class FleetWorld:
    """Instances, a store, runners and callers.

    Parameters
    ----------
    zones : dict
        Number of instances by availability zone.
    runners : int
        In each zone.
    seed : int
    tuning : Tuning, optional
    """

    def __init__(
        self,
        zones: dict[str, int],
        runners: int = 2,
        seed: int = 1,
        tuning: Tuning | None = None,
        capacity: int = 32_000,
    ) -> None:
        self.queue = EventQueue()
        # A machine has been up for a while when the first process starts.
        self.queue.run_until(UPTIME_MS)
        self.random = Random(seed)
        self.documents = JsonDocuments()
        self.store = MetadataStoreStandin()
        self.audit = FleetAudit()
        self.tuning = tuning
        self.runners: dict[str, LeaseRunnerStandin] = {}
        self.instances: dict[str, Instance] = {}
        self.jobs: dict[str, TestJob] = {}
        self.cut: Callable[[str, str], bool] = lambda one, other: False
        """Whether two places, named by instance, runner or store, are cut off."""
        self.store_down = False
        self.lose_replies = 0.0
        """Share of the store's writes whose replies are lost."""
        self.late_orders = 0.0
        """Share of starts and stops that get no answer and are carried out late."""
        self.timer_delay: dict[str, int] = {}
        """How late the timers of an instance are, in milliseconds."""
        self.lost_holds = 0.0
        """Share of holds that get no answer."""
        self.durations: dict[str, StandinTask] = {}
        self.dark: set[str] = set()
        """Machines without power: connections to them are not refused."""
        self._watches: list[tuple[Instance, CallStore, float]] = []
        self._due: dict[LeaseRunnerStandin, float] = {}
        self._last_request = 0
        self._routes: tuple[Route, ...] = ()
        for zone, count in zones.items():
            for number in range(runners):
                self.add_runner(f"runner-{zone}-{number}", zone, capacity)
            for number in range(count):
                self.start_instance(f"{zone}-{number}", zone)

    @property
    def now(self) -> int:
        """The time in milliseconds."""
        return int(self.queue.now)

    # Set-up

    def configure(self, version: int, routes: tuple[Route, ...]) -> None:
        """Write a configuration as the operator does."""
        self._routes = routes
        configuration = ServiceConfiguration(version, routes)
        value = self.documents.write(configuration)
        self.store.put(self.documents.configuration_key, value)
        self._wake_watches()

    def add_runner(
        self, runner_id: str, zone: str, capacity: int, born: int = 0
    ) -> LeaseRunnerStandin:
        """Start a runner and register it."""
        entry = RunnerEntry(
            runner_id,
            SERVICE,
            f"address-of-{runner_id}",
            zone,
            False,
            Resources(capacity, 100_000, 0),
            started_at_ms=born,
        )
        runner = LeaseRunnerStandin(entry, self.task_of)
        runner.on_start = lambda run: self.audit.run_begins(runner, run, self.now)
        runner.on_end = lambda run, end: self.audit.run_ends(runner, run, end)
        self.runners[runner_id] = runner
        self.register(entry)
        return runner

    def register(self, entry: RunnerEntry) -> None:
        """Write a runner's entry."""
        key = self.documents.runners_prefix + entry.runner_id
        self.store.put(key, self.documents.write(entry))

    def unregister(self, runner_id: str) -> None:
        """Let a runner's entry lapse."""
        self.store.delete(self.documents.runners_prefix + runner_id)

    def restart_runner(self, runner_id: str) -> LeaseRunnerStandin:
        """Crash a runner and start it again under its id."""
        old = self.runners[runner_id]
        old.advance(self.now)
        self.audit.runner_crashes(old)
        return self.add_runner(
            runner_id, old.entry.zone, old.entry.capacity.millicores, self.now + 1
        )

    def task_of(self, name: str) -> StandinTask:
        """Return what a task needs, from the job that it belongs to."""
        if name in self.durations:
            return self.durations[name]
        job_id, _, step, _ = name.split(".")
        request = self.jobs[job_id].job.steps[int(step)]
        return StandinTask(request.demand, float(request.estimate_ms))

    def start_instance(self, name: str, zone: str) -> Instance:
        """Start a process."""
        address = f"address-of-{name}"
        seeds = tuple(one.address for one in list(self.instances.values())[:3])
        settings = InstanceSettings(name, zone, "", "", address, "", "", seeds=seeds)
        core = create_instance(
            settings,
            self.documents,
            Random(self.random.getrandbits(32)),
            self.tuning,
            strict=True,
        )
        self.dark.discard(name)
        instance = Instance(name, zone, address, core)
        self.instances[name] = instance
        self.queue.after(
            self.random.randrange(20), lambda: self.tell(instance, Started())
        )
        return instance

    # Faults

    def kill(self, name: str) -> None:
        """End a process at once; its connections are reset."""
        instance = self.instances[name]
        instance.alive = False
        for other, other_id in instance.streams.values():
            self.queue.after(
                HOP_MS,
                lambda other=other, other_id=other_id: self._close(other, other_id),
            )
        instance.streams.clear()

    def power_off(self, name: str) -> None:
        """End a machine at once; nobody is told."""
        self.dark.add(name)
        self.instances[name].alive = False

    def reset_streams(self) -> None:
        """Reset the streams between instances that are cut off from each other."""
        for instance in self.instances.values():
            for stream_id, (other, _) in list(instance.streams.items()):
                if self.cut(instance.name, other.name):
                    self._close(instance, stream_id)

    def freeze(self, name: str) -> None:
        """Suspend a process; its events wait."""
        self.instances[name].frozen = True

    def thaw(self, name: str) -> None:
        """Resume a process."""
        instance = self.instances[name]
        instance.frozen = False
        held, instance.held = instance.held, []
        for event in held:
            self.tell(instance, event)

    def stop(self, name: str) -> None:
        """Ask a process to stop."""
        self.tell(self.instances[name], StopRequested())

    def _close(self, instance: Instance, stream_id: int) -> None:
        if instance.streams.pop(stream_id, None) is not None:
            self.tell(instance, StreamClosed(stream_id))

    # Callers

    def submit(
        self,
        job: JobRequest,
        route: Route,
        instance: str,
        deadline_ms: Milliseconds = 1_500,
    ) -> TestJob:
        """Hand a job in at an instance."""
        known = self.jobs.get(job.job_id)
        if known is None:
            known = self.jobs[job.job_id] = TestJob(job, route, self.now)
        process = self.instances[instance]
        if not process.alive:
            return known
        self._last_request += 1
        request_id = self._last_request
        known.open += 1
        self.audit.submitted(job.job_id)
        process.requests[request_id] = known
        event = JobRequested(
            request_id, route.host, route.prefix + job.job_id, job, deadline_ms
        )
        self.tell(process, event)
        return known

    def give_up(self, job: TestJob, reset: bool = False) -> None:
        """Let the callers of a job leave."""
        for process in self.instances.values():
            for request_id, one in list(process.requests.items()):
                if one is job:
                    del process.requests[request_id]
                    job.open -= 1
                    self.tell(process, CallerGone(request_id, reset))

    # Running

    def run(self, duration_ms: float) -> None:
        """Let time pass."""
        self.queue.run_until(self.queue.now + duration_ms)

    def tell(self, instance: Instance, event: Event) -> None:
        """Hand an event to a process."""
        if not instance.alive:
            return
        if instance.frozen:
            instance.held.append(event)
            return
        for command in instance.core.step(event, self.now):
            self._carry_out(instance, command)
        board = instance.core.board
        self.audit.used_version(board.incarnation, board.configuration.current.version)

    def _carry_out(self, instance: Instance, command: Command) -> None:
        match command:
            case SetTimer(name, at):
                self._set_timer(instance, name, at)
            case CallStore():
                self._call_store(instance, command)
            case CallRunner():
                self._call_runner(instance, command)
            case OpenStream(stream_id, address, timeout_ms):
                self._open(instance, stream_id, address, timeout_ms)
            case CloseStream(stream_id):
                self._hang_up(instance, stream_id)
            case SendMessage(stream_id, message):
                self._send(instance, stream_id, encode_message(message))
            case AnswerCaller(request_id, answer):
                self._answer(instance, request_id, answer)
            case SetReadiness(ready):
                instance.ready = ready
            case WriteLog():
                instance.log.append((self.queue.now, command))
            case ExitProcess():
                self.kill(instance.name)

    def _set_timer(self, instance: Instance, name: str, at: int) -> None:
        instance.timers[name] = at

        def fire() -> None:
            if instance.timers.get(name) == at:
                del instance.timers[name]
                self.tell(instance, TimerFired(name))

        self.queue.at(at + self.timer_delay.get(instance.name, 0), fire)

    def _answer(
        self, instance: Instance, request_id: int, answer: CallerAnswer
    ) -> None:
        job = instance.requests.pop(request_id, None)
        if job is None:
            return
        job.open -= 1
        job.answers.append((self.now, answer))
        self.audit.answered(job.job.job_id, answer, self.now, job.open)

    # The store

    def _call_store(self, instance: Instance, command: CallStore) -> None:
        # Each call times out; the core ignores this if it had a reply before.
        timeout = StoreFailure("timed_out")
        self._reply_store(instance, command, timeout, command.timeout_ms)
        if not (self.store_down or self.cut(instance.name, STORE)):
            self.queue.after(STORE_MS, lambda: self._at_store(instance, command))

    def _at_store(self, instance: Instance, command: CallStore) -> None:
        reply = self.store.call(command.operation, self.now)
        if reply is None:
            wait = command.operation.wait_ms
            watch = (instance, command, self.queue.now + wait)
            self._watches.append(watch)
            self.queue.after(wait, lambda: self._end_watch(watch))
            return
        self._wake_watches()
        lost = self.random.random() < self.lose_replies
        if lost and not isinstance(command.operation, WatchItems):
            reply = StoreFailure("timed_out")
            self._reply_store(instance, command, reply, command.timeout_ms)
        else:
            self._reply_store(instance, command, reply, STORE_MS)

    def _reply_store(
        self,
        instance: Instance,
        command: CallStore,
        reply: StoreReply,
        delay_ms: float,
    ) -> None:
        self.queue.after(
            delay_ms,
            lambda: self.tell(instance, StoreReplied(command.call_id, reply)),
        )

    def _wake_watches(self) -> None:
        waiting, self._watches = self._watches, []
        for watch in waiting:
            instance, command, _ = watch
            reply = self.store.call(command.operation, self.now)
            if reply is None:
                self._watches.append(watch)
            elif not (self.store_down or self.cut(instance.name, STORE)):
                self._reply_store(instance, command, reply, STORE_MS)

    def _end_watch(self, watch: tuple[Instance, CallStore, float]) -> None:
        if watch not in self._watches:
            return
        self._watches.remove(watch)
        instance, command, _ = watch
        after = command.operation.after_revision
        reply = WatchedChanges((), max(after, self.store.revision))
        if self.store_down or self.cut(instance.name, STORE):
            reply = StoreFailure("timed_out")
        self._reply_store(instance, command, reply, STORE_MS)

    # Runners

    def _call_runner(self, instance: Instance, command: CallRunner) -> None:
        self.queue.after(HOP_MS, lambda: self._at_runner(instance, command))
        outcome = _REPLIES[type(command.order)](OrderOutcome.UNKNOWN)
        self.queue.after(
            command.timeout_ms,
            lambda: self._runner_replies(instance, command, outcome),
        )

    def _at_runner(self, instance: Instance, command: CallRunner) -> None:
        runner = self.runners.get(command.runner_id)
        if runner is None or self.cut(instance.name, command.runner_id):
            return
        order = command.order
        if not isinstance(order, HoldRuns) and self.random.random() < self.late_orders:
            delay = self.random.uniform(200, 3_000)
            self.queue.after(delay, lambda: self._take_late(command))
            return
        if isinstance(order, HoldRuns) and self.random.random() < self.lost_holds:
            return
        reply = runner.take(order, self.now)
        self._watch_runner(runner)
        done = reply.outcome is OrderOutcome.DONE
        if isinstance(order, HoldRuns) and order.wait_ms and done and not reply.ended:
            self._wait_for_end(instance, command, runner, order.wait_ms)
            return
        self._send_reply(instance, command, reply)

    def _take_late(self, command: CallRunner) -> None:
        runner = self.runners.get(command.runner_id)
        if runner is not None:
            runner.take(command.order, self.now)
            self._watch_runner(runner)

    def _wait_for_end(
        self,
        instance: Instance,
        command: CallRunner,
        runner: LeaseRunnerStandin,
        left_ms: float,
    ) -> None:
        """Answer a waiting hold at the next end, or when its time has passed."""
        step = 2.0
        if self.runners.get(command.runner_id) is not runner:
            return
        runner.advance(self.now)
        if left_ms <= 0 or runner.has_unseen_ends(command.order):
            listed = attrs.evolve(command.order, lease_end_ms=0)
            self._send_reply(instance, command, runner.take(listed, self.now))
            return
        self.queue.after(
            step,
            lambda: self._wait_for_end(instance, command, runner, left_ms - step),
        )

    def _watch_runner(self, runner: LeaseRunnerStandin) -> None:
        at = runner.next_change()
        if at != float("inf") and self._due.get(runner, float("inf")) > at:
            self._due[runner] = at
            self.queue.at(at + 1, lambda: self._advance(runner))

    def _advance(self, runner: LeaseRunnerStandin) -> None:
        self._due.pop(runner, None)
        runner.advance(self.now)
        if runner.next_change() > self.queue.now:
            self._watch_runner(runner)

    def _send_reply(
        self, instance: Instance, command: CallRunner, reply: RunnerReply
    ) -> None:
        if self.cut(instance.name, command.runner_id):
            return
        self.queue.after(HOP_MS, lambda: self._runner_replies(instance, command, reply))

    def _runner_replies(
        self, instance: Instance, command: CallRunner, reply: RunnerReply
    ) -> None:
        """Hand on the first reply; the core ignores a second one."""
        self.tell(instance, RunnerReplied(command.call_id, reply))

    # Streams

    def _find(self, address: str) -> Instance | None:
        for instance in self.instances.values():
            if instance.address == address:
                return instance
        return None

    def _open(
        self, instance: Instance, stream_id: int, address: str, timeout_ms: int
    ) -> None:
        other = self._find(address)
        silent = (
            other is None
            or other.frozen
            or self.cut(instance.name, other.name)
            or (not other.alive and other.name in self.dark)
        )
        if silent:
            event = StreamClosed(stream_id, timed_out=True)
            self.queue.after(timeout_ms, lambda: self.tell(instance, event))
            return
        if not other.alive:
            event = StreamClosed(stream_id, refused=True)
            self.queue.after(2 * HOP_MS, lambda: self.tell(instance, event))
            return
        other.next_stream += 1
        other_id = other.next_stream
        instance.streams[stream_id] = (other, other_id)
        other.streams[other_id] = (instance, stream_id)
        self.queue.after(
            2 * HOP_MS, lambda: self.tell(instance, StreamOpened(stream_id))
        )

    def _hang_up(self, instance: Instance, stream_id: int) -> None:
        pair = instance.streams.pop(stream_id, None)
        if pair is None:
            return
        other, other_id = pair
        if not self.cut(instance.name, other.name):
            self.queue.after(HOP_MS, lambda: self._close(other, other_id))

    def _send(self, instance: Instance, stream_id: int, data: bytes) -> None:
        pair = instance.streams.get(stream_id)
        if pair is None:
            return
        other, other_id = pair
        if self.cut(instance.name, other.name):
            return

        def arrive() -> None:
            if other_id in other.streams:
                message = decode_message(msgpack.unpackb(data))
                self.tell(other, MessageReceived(other_id, message))

        self.queue.after(HOP_MS, arrive)


def simple_job(
    number: int, count: int, millicores: int, duration_ms: int
) -> JobRequest:
    """Return a job of one step."""
    step = StepRequest(count, Resources(millicores, 64, 0), duration_ms)
    return JobRequest(f"{number:016x}", "spec", (step,))
