"""One instance: its decision core with all of its edges."""

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
from sassafrasloft.metadata import StoreOperation, StoreReply
from sassafrasloft.runs import RunnerCommand, RunnerReply
from sassafrasloft.workload import HttpLimits

EXIT_DELAY_S = 0.05
"""For the last bytes of responses to leave."""


class StoreCalls(Protocol):
    """Makes calls to the metadata store; supplied by an adapter."""

    def call(
        self,
        operation: StoreOperation,
        timeout_ms: Milliseconds,
        done: Callable[[StoreReply], None],
    ) -> None:
        """Make a call; `done` is called once."""


class RunnerCalls(Protocol):
    """Sends orders to runners; supplied by an adapter."""

    def call(
        self,
        runner_id: str,
        address: str,
        order: RunnerCommand,
        timeout_ms: Milliseconds,
        done: Callable[[RunnerReply], None],
    ) -> None:
        """Send an order; `done` is called once."""


class CallerForms(Protocol):
    """Translates callers' requests and answers; supplied by an adapter."""

    def read(self, request_id: int, request: HttpRequest) -> Event | HttpResponse:
        """Return the event of a request, or the response to a malformed one."""

    def write(self, answer: CallerAnswer) -> HttpResponse:
        """Return the response for an answer."""


class InstanceProcess:
    """Connects the edges to the core.

    Parameters
    ----------
    core : DecisionCore
    clock : Clock
    log : LogOutput
    store : StoreCalls
    runners : RunnerCalls
    callers : CallerForms
    load_settings : callable
        Reads the settings again after SIGHUP.
    """

    def __init__(
        self,
        core: DecisionCore,
        clock: Clock,
        log: LogOutput,
        store: StoreCalls,
        runners: RunnerCalls,
        callers: CallerForms,
        load_settings: Callable[[], InstanceSettings],
    ) -> None:
        self._core = core
        self._board = core.board
        self._clock = clock
        self._log = log
        self._store = store
        self._runners = runners
        self._callers = callers
        self.load_settings = load_settings
        self._ready = False
        self._backlog_ms = 0
        self._exiting = asyncio.Event()
        self.callers_server = HttpServer(self, HttpLimits())
        self._readiness_server = HttpServer(ReadinessPage(self), HttpLimits())
        self._streams = MessageStreams(self.tell)
        loop = asyncio.get_running_loop()
        self._timers = LoopTimers(loop, clock, self._fire)
        self._actor = InstanceActor.start(core, clock, self._carriers())
        self._inbound = InboundQueue(loop, clock, self._actor.tell, self._pause_reading)

    @property
    def ready(self) -> bool:
        """Whether the balancer may send new connections."""
        return self._ready

    @property
    def readiness_server(self) -> HttpServer:
        """The listener of the balancer's checks."""
        return self._readiness_server

    def tell(self, event: Event) -> None:
        """Hand an event to the core, after those that wait unless it is urgent."""
        self._inbound.put(event)

    def _fire(self, name: str) -> None:
        event = TimerFired(name)
        if is_urgent(event):
            self._tell_backlog()
        self.tell(event)

    def _tell_backlog(self) -> None:
        """Say how long events wait, as long as this is news."""
        waited_ms = self._inbound.waited_ms()
        if waited_ms or self._backlog_ms:
            self._backlog_ms = waited_ms
            self.tell(BacklogMeasured(waited_ms))

    def _set_timer(self, command: SetTimer) -> None:
        self._inbound.forget_timer(command.name)
        self._timers.set(command.name, command.due_ms)

    def _close_stream(self, command: CloseStream) -> None:
        self._streams.close(command.stream_id)
        self._inbound.forget_stream(command.stream_id)

    def _pause_reading(self, paused: bool) -> None:
        self._log.write("WARNING", "reading_paused", (("paused", paused),))
        self._streams.pause_reading(paused)
        self.callers_server.pause_reading(paused)

    def _carriers(self) -> dict[type[Command], Callable]:
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
                one.request_id, self._callers.write(one.answer)
            ),
            SetTimer: self._set_timer,
            SetReadiness: self._set_ready,
            SetHttpLimits: self._set_limits,
            CloseCallers: lambda _: self.callers_server.close_listener(),
            WriteLog: self._write_log,
            ExitProcess: lambda _: self._exiting.set(),
        }

    async def run(self) -> None:
        """Serve until the core ends the process."""
        settings = self._board.settings
        await self._streams.listen(*split_address(settings.peers_address))
        await self.callers_server.listen(*split_address(settings.callers_address))
        await self._readiness_server.listen(*split_address(settings.readiness_address))
        if settings.metrics_address:
            page = MetricsPage(self._board, self._log)
            await page.server.listen(*split_address(settings.metrics_address))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop)
        loop.add_signal_handler(signal.SIGINT, self._stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._log.write("INFO", "started", (("zone", settings.zone),))
        self.tell(Started())
        await self._exiting.wait()
        await asyncio.sleep(EXIT_DELAY_S)
        self._log.flush()

    def _reload(self) -> None:
        """Read the settings again; addresses cannot change while serving."""
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

    # Commands

    def _call_store(self, command: CallStore) -> None:
        call_id = command.call_id
        self._store.call(
            command.operation,
            command.timeout_ms,
            lambda reply: self.tell(StoreReplied(call_id, reply)),
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

    def _set_ready(self, command: SetReadiness) -> None:
        self._ready = command.ready
        self._log.write("INFO", "readiness", (("ready", command.ready),))

    def _set_limits(self, command: SetHttpLimits) -> None:
        self.callers_server.limits = command.limits

    def _write_log(self, command: WriteLog) -> None:
        self._log.write(
            command.level, command.event, command.fields, command.failed_request
        )

    # Callers

    def take_request(self, request_id: int, request: HttpRequest) -> None:
        """Take a caller's request."""
        read = self._callers.read(request_id, request)
        if isinstance(read, HttpResponse):
            self._log.write(
                "INFO",
                "request_malformed",
                (("path", request.path[:80]), ("status", read.status)),
                important=True,
            )
            self.callers_server.answer(request_id, read)
        else:
            self.tell(read)

    def lose_request(self, request_id: int, reset: bool) -> None:
        """Note that a caller is gone."""
        self.tell(CallerGone(request_id, reset))


class ReadinessPage:
    """Answers the balancer's checks."""

    def __init__(self, process: InstanceProcess) -> None:
        self._process = process

    def take_request(self, request_id: int, request: HttpRequest) -> None:
        """Answer 200 while ready, else 503."""
        status = 200 if self._process.ready else 503
        response = HttpResponse(status)
        self._process.readiness_server.answer(request_id, response)

    def lose_request(self, request_id: int, reset: bool) -> None:
        """Nothing is open."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``IP:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
