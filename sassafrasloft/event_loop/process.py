"""The process of one instance: its decision core and its I/O layer."""

import asyncio
import signal
from collections.abc import Callable
from typing import Protocol

import attrs

from sassafrasloft.blackboard import (
    Command,
    DecisionCore,
    Event,
    SetTimer,
    Started,
    TimerFired,
)
from sassafrasloft.clock import Clock, Milliseconds
from sassafrasloft.event_loop.actor import InstanceActor
from sassafrasloft.event_loop.http_messages import HttpRequest, HttpResponse
from sassafrasloft.event_loop.http_server import HttpServer
from sassafrasloft.event_loop.inbound import InboundQueue
from sassafrasloft.event_loop.ingress_budget import IngressLimits
from sassafrasloft.event_loop.log_output import LogOutput
from sassafrasloft.event_loop.metrics_page import MetricsPage
from sassafrasloft.event_loop.streams import MessageStreams
from sassafrasloft.event_loop.timers import LoopTimers
from sassafrasloft.gateway import CallerAnswer
from sassafrasloft.instance.commands import (
    AnswerCaller,
    CallRunner,
    CallStore,
    CloseCallers,
    CloseStream,
    ExitProcess,
    OpenStream,
    SendMessage,
    SetHttpLimits,
    SetReadiness,
    WriteLog,
)
from sassafrasloft.instance.events import (
    BacklogMeasured,
    CallerGone,
    RunnerReplied,
    StopRequested,
    StoreReplied,
)
from sassafrasloft.instance.settings import InstanceSettings
from sassafrasloft.instance.urgency import is_urgent
from sassafrasloft.metadata import StoreOperation, StoreReply, TransferLimits
from sassafrasloft.runs import RunnerCommand, RunnerReply
from sassafrasloft.workload import HttpLimits

REFUSAL_LOG_PERIOD_MS = 1_000
"""Refusals of requests that were not read are logged at most this often."""
EXIT_DELAY_S = 0.05
"""The delay before the process exits, in which the last responses are sent."""


class StoreClient(Protocol):
    """A client of the metadata store; implemented by an adapter."""

    def call(
        self,
        operation: StoreOperation,
        timeout_ms: Milliseconds,
        done: Callable[[StoreReply], None],
        transfer: TransferLimits | None,
    ) -> None:
        """Call the store; `done` is called once, with the reply."""


class RunnerClient(Protocol):
    """A client of the runners; implemented by an adapter."""

    def call(
        self,
        runner_id: str,
        address: str,
        order: RunnerCommand,
        timeout_ms: Milliseconds,
        done: Callable[[RunnerReply], None],
    ) -> None:
        """Send a runner command; `done` is called once, with the reply."""


class CallerCodec(Protocol):
    """Decodes requests of callers and encodes answers; implemented by an adapter."""

    header_names: frozenset[str]
    """The headers that decoding needs, in lower case."""

    def decode_request(
        self, request_id: int, request: HttpRequest
    ) -> Event | HttpResponse:
        """Decode a request; return its event, or the response to a malformed one."""

    def encode_answer(self, answer: CallerAnswer) -> HttpResponse:
        """Encode an answer as a response."""


class InstanceProcess:
    """Connects the network, timers, signals and the log to the decision core.

    Parameters
    ----------
    core : DecisionCore
    clock : Clock
    log : LogOutput
    store : StoreCalls
    runners : RunnerCalls
    callers : CallerForms
    load_settings : callable
        Loads the settings again after SIGHUP.
    ingress : IngressLimits, optional
        Limits of all requests of callers; by default those of a small machine.
    """

    def __init__(
        self,
        core: DecisionCore,
        clock: Clock,
        log: LogOutput,
        store: StoreClient,
        runners: RunnerClient,
        callers: CallerCodec,
        load_settings: Callable[[], InstanceSettings],
        ingress: IngressLimits | None = None,
    ) -> None:
        self._core = core
        self._board = core.board
        self._clock = clock
        self._log = log
        self._store = store
        self._runners = runners
        self._caller_codec = callers
        self.load_settings = load_settings
        self._is_ready = False
        self._backlog_ms = 0
        self._exit_requested = asyncio.Event()
        self.callers_server = HttpServer(
            self,
            HttpLimits(),
            ingress,
            callers.header_names,
            self._report_refusals,
        )
        self._refusals_reported_at = -REFUSAL_LOG_PERIOD_MS
        self._readiness_server = HttpServer(
            ReadinessPage(self), HttpLimits(), kept_headers=frozenset()
        )
        self._streams = MessageStreams(self.tell)
        loop = asyncio.get_running_loop()
        self._timers = LoopTimers(loop, clock, self._handle_timer)
        self._actor = InstanceActor.start(core, clock, self._command_handlers())
        self._inbound = InboundQueue(loop, clock, self._actor.tell, self._pause_reading)

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send new connections."""
        return self._is_ready

    @property
    def readiness_server(self) -> HttpServer:
        """The server that answers the readiness checks of the load balancer."""
        return self._readiness_server

    def tell(self, event: Event) -> None:
        """Pass an event to the core, after the queued ones unless it is urgent."""
        self._inbound.put(event)

    def _handle_timer(self, name: str) -> None:
        event = TimerFired(name)
        if is_urgent(event):
            self._report_backlog()
        self.tell(event)

    def _report_backlog(self) -> None:
        """Report the event queue delay to the core until it has reported zero once."""
        waited_ms = self._inbound.oldest_wait_ms()
        if waited_ms or self._backlog_ms:
            self._backlog_ms = waited_ms
            self.tell(BacklogMeasured(waited_ms))

    def _set_timer(self, command: SetTimer) -> None:
        self._inbound.discard_timer(command.name)
        self._timers.set(command.name, command.due_ms)

    def _close_stream(self, command: CloseStream) -> None:
        self._streams.close(command.stream_id)
        self._inbound.discard_stream(command.stream_id)

    def _pause_reading(self, paused: bool) -> None:
        self._log.write("WARNING", "reading_paused", (("paused", paused),))
        self._streams.pause_reading(paused)
        self.callers_server.pause_reading(paused)

    def _report_refusals(self) -> None:
        """Log, at most once a second, how many requests were given up unread."""
        now = self._clock.now()
        if now - self._refusals_reported_at < REFUSAL_LOG_PERIOD_MS:
            return
        self._refusals_reported_at = now
        budget = self.callers_server.budget
        self._log.write(
            "WARNING",
            "clients_refused",
            (("held_bytes", budget.held_bytes), *sorted(budget.refusals.items())),
        )

    def _command_handlers(self) -> dict[type[Command], Callable]:
        streams = self._streams
        return {
            CallStore: self._call_store,
            CallRunner: self._call_runner,
            OpenStream: lambda one: streams.open(
                one.stream_id, one.address, one.timeout_ms
            ),
            CloseStream: self._close_stream,
            SendMessage: lambda one: streams.send(one.stream_id, one.message),
            AnswerCaller: lambda one: self.callers_server.answer(
                one.request_id, self._caller_codec.encode_answer(one.answer)
            ),
            SetTimer: self._set_timer,
            SetReadiness: self._set_readiness,
            SetHttpLimits: self._set_http_limits,
            CloseCallers: lambda _: self.callers_server.close_listener(),
            WriteLog: self._write_log,
            ExitProcess: lambda _: self._exit_requested.set(),
        }

    async def run(self) -> None:
        """Serve until the core requests the exit of the process."""
        settings = self._board.settings
        await self._streams.listen(*split_address(settings.peers_address))
        await self.callers_server.listen(*split_address(settings.callers_address))
        await self._readiness_server.listen(*split_address(settings.readiness_address))
        if settings.metrics_address:
            page = MetricsPage(self._board, self._log, self.callers_server.budget)
            await page.server.listen(*split_address(settings.metrics_address))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop)
        loop.add_signal_handler(signal.SIGINT, self._stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        self._log.write("INFO", "started", (("zone", settings.zone),))
        self.tell(Started())
        await self._exit_requested.wait()
        await asyncio.sleep(EXIT_DELAY_S)
        self._log.flush()

    def _reload_settings(self) -> None:
        """Load the settings again and log the changes that need a restart.

        Addresses cannot change while the process serves.
        """
        try:
            settings = self.load_settings()
        except Exception as error:
            self._log.write("ERROR", "settings_unreadable", (("reason", str(error)),))
            return
        before = self._board.settings
        changed = [
            field.name
            for field in attrs.fields(type(before))
            if getattr(before, field.name) != getattr(settings, field.name)
        ]
        self._log.write(
            "INFO", "settings_reloaded", (("changed_need_restart", changed),)
        )

    def _stop(self) -> None:
        self.callers_server.stopping = True
        self.tell(StopRequested())

    # Handlers of commands

    def _call_store(self, command: CallStore) -> None:
        call_id = command.call_id
        self._store.call(
            command.operation,
            command.timeout_ms,
            lambda reply: self.tell(StoreReplied(call_id, reply)),
            command.transfer,
        )

    def _call_runner(self, command: CallRunner) -> None:
        call_id = command.call_id
        self._runners.call(
            command.runner_id,
            command.address,
            command.order,
            command.timeout_ms,
            lambda reply: self.tell(RunnerReplied(call_id, reply)),
        )

    def _set_readiness(self, command: SetReadiness) -> None:
        self._is_ready = command.ready
        self._log.write("INFO", "readiness", (("ready", command.ready),))

    def _set_http_limits(self, command: SetHttpLimits) -> None:
        self.callers_server.limits = command.limits

    def _write_log(self, command: WriteLog) -> None:
        self._log.write(
            command.level, command.event, command.fields, command.failed_request
        )

    # Requests of callers

    def handle_request(self, request_id: int, request: HttpRequest) -> None:
        """Pass the request of a caller to the core, or reject a malformed one."""
        parsed = self._caller_codec.decode_request(request_id, request)
        if isinstance(parsed, HttpResponse):
            self._log.write(
                "INFO",
                "request_malformed",
                (("path", request.path[:80]), ("status", parsed.status)),
                important=True,
            )
            self.callers_server.answer(request_id, parsed)
        else:
            self.tell(parsed)

    def handle_disconnect(self, request_id: int, reset: bool) -> None:
        """Report to the core that a caller has disconnected."""
        self.tell(CallerGone(request_id, reset))


class ReadinessPage:
    """Answers the readiness checks of the load balancer."""

    def __init__(self, process: InstanceProcess) -> None:
        self._process = process

    def handle_request(self, request_id: int, request: HttpRequest) -> None:
        """Answer 200 while the instance is ready, else 503."""
        status = 200 if self._process.ready else 503
        response = HttpResponse(status)
        self._process.readiness_server.answer(request_id, response)

    def handle_disconnect(self, request_id: int, reset: bool) -> None:
        """Do nothing, since each request is answered immediately."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` into the host, without brackets, and the port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
