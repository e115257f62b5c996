"""One entry instance: the decision core with its I/O layer."""

import threading
from collections.abc import Callable

import pykka

from sassafrasloft.clock import Clock, Milliseconds
from sassafrasloft.core import (
    AbandonDelivery,
    CallPlatform,
    Command,
    DecisionCore,
    Deliver,
    DeliveryFailed,
    DrainRequested,
    Event,
    Exit,
    Fence,
    Probe,
    RecordSpan,
    Reply,
    SendToPeer,
    SetHealth,
    SetTimer,
    Settle,
    StopTasks,
    TimerFired,
    WriteLog,
)
from sassafrasloft.entry.actor import DispatcherActor, StartCore, UpdateMetrics
from sassafrasloft.entry.assembly import instance_settings
from sassafrasloft.entry.callers_http import CallersApplication
from sassafrasloft.entry.health import Health
from sassafrasloft.entry.operators_http import OperatorsApplication
from sassafrasloft.entry.peer_streams import PeerStreams
from sassafrasloft.entry.platform_calls import Platform, PlatformCallExecutor
from sassafrasloft.entry.replies import ReplyTable
from sassafrasloft.entry.timers import TimerThread
from sassafrasloft.entry.upstream_client import UpstreamClient, unreachable_event
from sassafrasloft.keyvalue import PlatformClient
from sassafrasloft.listeners import HttpListener, ListenerLimits
from sassafrasloft.logs import write_log
from sassafrasloft.messages import Hello
from sassafrasloft.metrics import MetricsRegistry
from sassafrasloft.settings import RunnerSettings, ServiceSettings
from sassafrasloft.traces import SpanWriter, span_from_command

MAX_INBOX = 10_000
"""Number of queued events above which streams of peers are not read. The number of
all other events is bounded by the caller threads, open deliveries, queries of
runners, platform calls and timers."""

INBOX_PAUSE_S = 0.01
METRICS_TIMEOUT_S = 5.0
OPERATOR_THREADS = 4

EXIT_GRACE_MS: Milliseconds = 5_000
"""Time for open requests to send their replies before the process ends."""


class EntryService:
    """Binds the addresses and connects the I/O layer to the decision core.

    Parameters
    ----------
    core : DecisionCore
        The decision core of the instance.
    clock : Clock
        The source of time.
    platform : Platform, optional
        Client of the platform; an HTTP client by default.

    Raises
    ------
    OSError
        If an address cannot be bound.
    """

    def __init__(
        self, core: DecisionCore, clock: Clock, platform: Platform | None = None
    ) -> None:
        self._core = core
        self._board = core.board
        self.metrics = MetricsRegistry()
        self.replies = ReplyTable()
        self.exited = threading.Event()
        own = instance_settings(self._settings(), self._board.identity.instance)
        self.health = Health(own.name)
        self._bind(own.callers_address, own.operators_address, own.peers_address)
        self._actor = DispatcherActor.start(core, clock, self.metrics)
        self._timers = TimerThread(clock, lambda name: self.tell(TimerFired(name)))
        self._upstreams = UpstreamClient(
            self.tell, self._connection_share(), lambda: self._settings().upstreams
        )
        known = self._settings().platform
        client = platform or PlatformClient(known.address, known.call_timeout_ms)
        self._platform = PlatformCallExecutor(client, self.tell)
        trace_file = self._settings().telemetry.trace_file
        self._spans = SpanWriter(trace_file) if trace_file else None

    def start(self) -> None:
        """Start all threads and serve; the first event of the core is `Started`."""
        self._timers.start()
        self._actor.tell(StartCore(self._command_handlers()))
        self.peers.start()
        self.operators.start()
        self.callers.start()

    def tell(self, event: Event) -> None:
        """Pass an event to the core; discarded after the actor has stopped."""
        try:
            self._actor.tell(event)
        except pykka.ActorDeadError:
            return

    def tell_from_peer(self, event: Event) -> None:
        """Pass an event of a peer to the core; blocks while the inbox is full."""
        while self._actor.actor_inbox.qsize() >= MAX_INBOX and self._actor.is_alive():
            self.exited.wait(INBOX_PAUSE_S)
        self.tell(event)

    def drain(self) -> None:
        """Start the planned stop; `exited` is set when it is complete."""
        self.tell(DrainRequested())

    def stop(self, grace_ms: Milliseconds = EXIT_GRACE_MS) -> None:
        """Send the replies that are ready and stop all threads."""
        self.callers.stop(grace_ms)
        self.peers.stop()
        self.operators.stop(grace_ms)
        self._timers.stop()
        self._actor.stop(block=True, timeout=1)
        self._upstreams.stop()
        self._platform.stop()
        if self._spans is not None:
            self._spans.close()

    def _bind(self, callers: str, operators: str, peers: str) -> None:
        limits = self._settings().limits
        self.application = CallersApplication(
            self.tell, self.replies, self.health, self._settings
        )
        operating = OperatorsApplication(
            self.tell, self.replies, self.health, self._metrics_text
        )
        self.callers = HttpListener(
            "callers",
            {callers: self.application},
            ListenerLimits(limits.caller_threads, limits.max_body_bytes),
        )
        self.operators = HttpListener(
            "operators",
            {operators: operating},
            ListenerLimits(OPERATOR_THREADS, max_body_bytes=10_000),
        )
        self.peers = PeerStreams(peers, self.tell_from_peer, self._hello)

    def _settings(self) -> ServiceSettings:
        """Return the settings in force; thread-safe, as it reads one reference."""
        return self._board.settings.service

    def _hello(self) -> Hello:
        identity = self._board.identity
        return Hello(identity.instance, identity.zone, identity.incarnation)

    def _connection_share(self) -> int:
        settings = self._settings()
        most = max((one.connections for one in settings.runners), default=1)
        return max(1, most // max(1, len(settings.instances)))

    def _metrics_text(self) -> str:
        self._actor.ask(UpdateMetrics(), timeout=METRICS_TIMEOUT_S)
        self.metrics.set_gauge("requests_open", len(self.replies))
        self.metrics.set_counter("waits_cut", self.application.gate.cut)
        return self.metrics.render()

    def _command_handlers(self) -> dict[type[Command], Callable[[Command], None]]:
        """Return the command handlers; they run in the thread of the actor."""
        return {
            Reply: lambda one: self.replies.deliver(one.request_id, one.content),
            Deliver: self._deliver,
            AbandonDelivery: lambda one: self._upstreams.abandon(one.delivery_id),
            Settle: self._query_runner,
            StopTasks: self._query_runner,
            Fence: self._query_runner,
            Probe: self._query_runner,
            SendToPeer: self._send_to_peer,
            CallPlatform: self._platform.call,
            SetTimer: lambda one: self._timers.set(one.name, one.due_ms),
            RecordSpan: self._record_span,
            WriteLog: lambda one: write_log(one.level, one.event, one.fields),
            SetHealth: self._set_health,
            Exit: lambda _: self.exited.set(),
        }

    def _runner(self, name: str) -> RunnerSettings | None:
        state = self._board.upstreams.runners.get(name)
        return state.settings if state is not None else None

    def _deliver(self, command: Deliver) -> None:
        runner = self._runner(command.runner)
        if runner is None:
            keys = tuple(one.key for one in command.assignments)
            self.tell(DeliveryFailed(command.runner, command.delivery_id, keys, False))
            return
        incarnation = self._board.identity.incarnation
        self._upstreams.deliver(runner.address, command, incarnation)

    def _query_runner(self, command: Settle | StopTasks | Fence | Probe) -> None:
        runner = self._runner(command.runner)
        if runner is None:
            self.tell(unreachable_event(command))
            return
        self._upstreams.query(runner.address, command)

    def _send_to_peer(self, command: SendToPeer) -> None:
        peer = self._board.peers.peers.get(command.peer)
        if peer is not None:
            address = peer.settings.peers_address
            self.peers.send(command.peer, address, command.message)

    def _record_span(self, command: RecordSpan) -> None:
        if self._spans is not None:
            self._spans.write(span_from_command(command, self._board.identity.instance))

    def _set_health(self, command: SetHealth) -> None:
        self.health.serving = command.serving
        if not command.serving:
            self.callers.leave()
