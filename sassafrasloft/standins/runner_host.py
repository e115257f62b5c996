"""A stand-in runner behind HTTP: threads, streams and time for its logic."""

import secrets
import threading
from collections.abc import Iterator
from queue import SimpleQueue

from sassafrasloft.clock import Clock
from sassafrasloft.jobs import ReportState, TaskKey, TaskReport
from sassafrasloft.listeners import JsonApplication, JsonReply, JsonRequest, route
from sassafrasloft.standins.runner import Delivery, RunnerLimits, RunnerLogic
from sassafrasloft.standins.wire import (
    parse_delivery,
    parse_faults,
    parse_incarnation,
    parse_keys,
    report_line,
    reports_body,
    start_values,
)

MAX_CONNECTION_NAMES = 10_000
"""Connections remembered for the silence fault; the oldest are forgotten."""

SILENCE_CHECK_S = 0.2
"""How often a silent stream looks whether its client is gone."""


def new_incarnation() -> str:
    """Return 64 random bits in hexadecimal."""
    return secrets.token_hex(8)


class RunnerHost:
    """One runner with a thread that ends its tasks in time.

    Parameters
    ----------
    name : str
        The runner's name.
    limits : RunnerLimits
        Slots and sizes.
    clock : Clock
        The time.
    """

    def __init__(self, name: str, limits: RunnerLimits, clock: Clock) -> None:
        self.logic = RunnerLogic(name, new_incarnation(), limits)
        self.messages: dict[str, int] = {}
        self._clock = clock
        self._changed = threading.Condition()
        self._streams: dict[TaskKey, SimpleQueue[TaskReport | None]] = {}
        self._seen: dict[str, None] = {}
        self._silenced: set[str] = set()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start ending tasks."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread and release silent streams."""
        self._stopped.set()
        with self._changed:
            self._changed.notify_all()
        self._thread.join()

    def count(self, request: JsonRequest, kind: str) -> None:
        """Count a message and hold it for ever if its connection is silent."""
        with self._changed:
            self.messages[kind] = self.messages.get(kind, 0) + 1
            self._seen[request.connection] = None
            if len(self._seen) > MAX_CONNECTION_NAMES:
                del self._seen[next(iter(self._seen))]
        self._hold_if_silent(request)

    def deliver(self, request: JsonRequest, delivery: Delivery) -> Iterator[bytes]:
        """Yield one line a task as it ends."""
        queue: SimpleQueue[TaskReport | None] = SimpleQueue()
        with self._changed:
            result = self.logic.deliver(delivery, self._clock.now())
            for key in result.accepted:
                self._streams[key] = queue
            self._changed.notify_all()
        for report in result.refused:
            yield self._line(report)
        for _ in result.accepted:
            report = queue.get()
            self._hold_if_silent(request)
            if report is None:
                return
            yield self._line(report)

    def settle(self, incarnation: str, keys: tuple[TaskKey, ...], stop: bool) -> dict:
        """Settle tasks, and stop the running ones if asked to."""
        with self._changed:
            act = self.logic.stop if stop else self.logic.settle
            reports = act(incarnation, keys, self._clock.now())
            self._publish(
                [one for one in reports if one.state is not ReportState.RUNNING]
            )
            if stop:
                self._changed.notify_all()  # A slot is free.
            return reports_body(reports, self.logic.capacity)

    def fence(self, incarnation: str) -> dict:
        """Fence an incarnation."""
        with self._changed:
            started = self.logic.fence(incarnation)
            self._publish(self.logic.drop_fenced())
            return reports_body(started, self.logic.capacity)

    def control(self, values: dict) -> None:
        """Switch faults on or off."""
        with self._changed:
            self.logic.faults = parse_faults(values, self.logic.faults)
            if values.get("silent"):
                self._silenced |= set(self._seen)
            if values.get("restart"):
                self.logic.restart(new_incarnation())
                for queue in set(self._streams.values()):
                    queue.put(None)
                self._streams.clear()
            self._changed.notify_all()

    def _run(self) -> None:
        with self._changed:
            while not self._stopped.is_set():
                self._publish(self.logic.advance(self._clock.now()))
                due_ms = self.logic.next_due_ms
                wait = None if due_ms is None else (due_ms - self._clock.now()) / 1000
                if wait is None or wait > 0:
                    self._changed.wait(wait)

    def _publish(self, reports: list[TaskReport]) -> None:
        for report in reports:
            queue = self._streams.pop(report.key, None)
            if queue is not None:
                queue.put(report)

    def _line(self, report: TaskReport) -> bytes:
        with self._changed:
            return report_line(report, self.logic.capacity)

    def _hold_if_silent(self, request: JsonRequest) -> None:
        while request.connection in self._silenced and not self._stopped.is_set():
            if request.client_disconnected():
                raise ConnectionError("the client left a silent connection")
            self._stopped.wait(SILENCE_CHECK_S)


class RunnerApplication(JsonApplication):
    """The runners' HTTP interface.

    Parameters
    ----------
    host : RunnerHost
        The runner behind it.
    """

    def __init__(self, host: RunnerHost) -> None:
        super().__init__()
        self._host = host

    @route("POST", "/v1/tasks")
    def tasks(self, request: JsonRequest) -> JsonReply:
        """Start a group of tasks and stream their ends."""
        self._host.count(request, "tasks")
        delivery = parse_delivery(request.json())
        return JsonReply(lines=self._host.deliver(request, delivery))

    @route("POST", "/v1/settle")
    def settle(self, request: JsonRequest) -> JsonReply:
        """Say what became of tasks."""
        self._host.count(request, "settle")
        return JsonReply(
            body=self._host.settle(*parse_keys(request.json()), stop=False)
        )

    @route("POST", "/v1/stop")
    def stop(self, request: JsonRequest) -> JsonReply:
        """Stop tasks."""
        self._host.count(request, "stop")
        return JsonReply(body=self._host.settle(*parse_keys(request.json()), stop=True))

    @route("POST", "/v1/fence")
    def fence(self, request: JsonRequest) -> JsonReply:
        """Fence an incarnation."""
        self._host.count(request, "fence")
        return JsonReply(body=self._host.fence(parse_incarnation(request.json())))

    @route("GET", "/v1/probe")
    def probe(self, request: JsonRequest) -> JsonReply:
        """Say whether the runner is healthy, and its capacity."""
        self._host.count(request, "probe")
        logic = self._host.logic
        capacity = reports_body([], logic.capacity)["capacity"]
        healthy = not logic.faults.fail_all
        return JsonReply(body={"healthy": healthy, "capacity": capacity})

    @route("GET", "/v1/starts")
    def starts(self, request: JsonRequest) -> JsonReply:
        """Return the record of every start, refusals and messages."""
        host = self._host
        starts = [start_values(record) for record in host.logic.starts]
        body = {
            "runner": host.logic.name,
            "starts": starts,
            "refusals": dict(host.logic.refusals),
            "messages": dict(host.messages),
        }
        return JsonReply(body=body)

    @route("POST", "/v1/control")
    def control(self, request: JsonRequest) -> JsonReply:
        """Switch faults on or off."""
        host = self._host
        host.control(request.json())
        return JsonReply(body={"runner": host.logic.name})
