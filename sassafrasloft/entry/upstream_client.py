"""HTTP client of the runners for deliveries of tasks and for queries.

Each open delivery and each query occupies one thread of a bounded pool. This
module makes no decisions: each command ends in events that report the outcome.
"""

import logging
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Any

import attrs
from urllib3 import BaseHTTPResponse, HTTPConnectionPool, Timeout
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    EmptyPoolError,
    HTTPError,
    NewConnectionError,
)

from sassafrasloft.core import (
    Deliver,
    DeliveryFailed,
    Event,
    Fence,
    FenceReported,
    Probe,
    ProbeReported,
    Settle,
    SettleReported,
    StopTasks,
    TaskReported,
)
from sassafrasloft.entry.upstream_wire import (
    delivery_body,
    fence_body,
    keys_body,
    parse_line,
    parse_probe,
    parse_reports,
)
from sassafrasloft.entry.workers import WorkerPool
from sassafrasloft.errors import MalformedInput
from sassafrasloft.jobs import TaskKey
from sassafrasloft.settings import UpstreamSettings

MAX_DELIVERY_THREADS = 256
"""Simultaneous deliveries; 24 runners with a share of 7 connections need 168."""

MAX_QUERY_THREADS = 24
"""Simultaneous queries: one for each runner of the present services."""

MAX_REPLY_BYTES = 16_000_000
"""A longer reply to a query is treated as a missing reply."""

MAX_LINE_BYTES = 4_000_000
"""Upper bound of the report on one task, including its result."""

READ_BYTES = 65_536

_HEADERS = {"Content-Type": "application/json"}
_NOT_SENT = (NewConnectionError, ConnectTimeoutError, EmptyPoolError)
_LOGGER = logging.getLogger(__name__)

EventSink = Callable[[Event], None]


@attrs.define(eq=False)
class _OpenDelivery:
    """A delivery whose reply is not complete."""

    command: Deliver
    unreported: dict[TaskKey, None]
    connection: "_TrackedConnection | None" = None
    abandoned: bool = False

    def close(self) -> None:
        """Shut the connection down, which unblocks the thread that reads from it."""
        self.abandoned = True
        connection = self.connection
        # The pool may have assigned the connection to another delivery.
        if connection is None or connection.delivery is not self:
            return
        if connection.sock is not None:
            with suppress(OSError):
                connection.sock.shutdown(socket.SHUT_RDWR)


_CURRENT = threading.local()


class _TrackedConnection(HTTPConnection):
    """Connection that registers itself with the delivery of the current thread."""

    delivery: _OpenDelivery | None = None

    def request(self, *args: Any, **options: Any) -> None:
        self.delivery = _CURRENT.delivery
        self.delivery.connection = self
        super().request(*args, **options)


class _DeliveryPool(HTTPConnectionPool):
    ConnectionCls = _TrackedConnection


class UpstreamClient:
    """Executes the commands that are sent to runners.

    Parameters
    ----------
    tell : callable
        Passes the events that report outcomes to the core.
    share : int
        Maximum number of connections to one runner for deliveries.
    settings : callable
        Returns the settings of upstreams that are in force.
    """

    def __init__(
        self, tell: EventSink, share: int, settings: Callable[[], UpstreamSettings]
    ) -> None:
        self._tell = tell
        self._max_connections = share
        self._settings = settings
        self._pools: dict[str, HTTPConnectionPool] = {}
        self._open: dict[str, _OpenDelivery] = {}
        self._lock = threading.Lock()
        self._delivery_workers = WorkerPool("delivery", MAX_DELIVERY_THREADS)
        self._query_workers = WorkerPool("question", MAX_QUERY_THREADS)

    def deliver(self, address: str, command: Deliver, sender_incarnation: str) -> None:
        """Send a group of tasks to a runner and report each line of the reply."""
        keys = dict.fromkeys(one.key for one in command.assignments)
        delivery = _OpenDelivery(command, keys)
        with self._lock:
            self._open[command.delivery_id] = delivery
        body = delivery_body(command, sender_incarnation)
        self._delivery_workers.submit(self._run_delivery, address, delivery, body)

    def abandon(self, delivery_id: str) -> None:
        """Close the connection of a delivery without reporting its outcome."""
        with self._lock:
            delivery = self._open.get(delivery_id)
            if delivery is not None:
                delivery.close()

    def query(self, address: str, command: Settle | StopTasks | Fence | Probe) -> None:
        """Query a runner on a new connection; report its reply or its absence."""
        self._query_workers.submit(self._run_query, address, command)

    def stop(self) -> None:
        """Close the open deliveries and stop the worker threads."""
        with self._lock:
            for delivery in self._open.values():
                delivery.close()
        self._delivery_workers.stop()
        self._query_workers.stop()

    def _run_delivery(self, address: str, delivery: _OpenDelivery, body: bytes) -> None:
        sent, reason = True, ""
        try:
            if not delivery.abandoned:
                self._stream(address, delivery, body)
        except _NOT_SENT as error:
            sent, reason = False, type(error).__name__
        except (HTTPError, OSError, MalformedInput) as error:
            reason = f"{type(error).__name__}: {error!s:.120}"
        except Exception as error:
            # The core expects a report on every delivery, also after a defect here.
            _LOGGER.exception("a delivery failed")
            reason = type(error).__name__
        with self._lock:
            self._open.pop(delivery.command.delivery_id, None)
        if delivery.unreported and not delivery.abandoned:
            unreported = tuple(delivery.unreported)
            command = delivery.command
            self._tell(
                DeliveryFailed(
                    command.runner, command.delivery_id, unreported, sent, reason
                )
            )

    def _stream(self, address: str, delivery: _OpenDelivery, body: bytes) -> None:
        settings = self._settings()
        _CURRENT.delivery = delivery
        response = self._pool(address).urlopen(
            "POST",
            "/v1/tasks",
            body=body,
            headers=_HEADERS,
            redirect=False,
            retries=False,
            preload_content=False,
            pool_timeout=settings.connect_timeout_ms / 1000,
            timeout=Timeout(
                connect=settings.connect_timeout_ms / 1000,
                read=delivery.command.lease_ms / 1000,
            ),
        )
        try:
            if response.status != 200:
                raise MalformedInput("status", str(response.status))
            for line in _lines(response):
                self._report(delivery, line)
        except Exception:
            response.close()
            raise
        response.release_conn()

    def _report(self, delivery: _OpenDelivery, line: bytes) -> None:
        parsed = parse_line(line)
        key = parsed.report.key
        if delivery.abandoned or key not in delivery.unreported:
            return
        del delivery.unreported[key]
        command = delivery.command
        self._tell(
            TaskReported(
                command.runner, command.delivery_id, parsed.report, parsed.capacity
            )
        )

    def _pool(self, address: str) -> HTTPConnectionPool:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                host, port = _host_and_port(address)
                pool = _DeliveryPool(
                    host, port, maxsize=self._max_connections, block=True
                )
                self._pools[address] = pool
            return pool

    def _run_query(
        self, address: str, command: Settle | StopTasks | Fence | Probe
    ) -> None:
        try:
            event = self._send_query(address, command)
        except (HTTPError, OSError, MalformedInput) as error:
            _LOGGER.info("no answer of %s: %s", command.runner, error)
            event = unreachable_event(command)
        except Exception:
            # The core expects a report on every query.
            _LOGGER.exception("a question failed")
            event = unreachable_event(command)
        self._tell(event)

    def _send_query(
        self, address: str, command: Settle | StopTasks | Fence | Probe
    ) -> Event:
        if isinstance(command, Probe):
            probed = parse_probe(self._exchange(address, "GET", "/v1/probe"))
            return ProbeReported(command.runner, True, probed.healthy, probed.capacity)
        if isinstance(command, Fence):
            body = fence_body(command.incarnation)
            listed = parse_reports(self._exchange(address, "POST", "/v1/fence", body))
            return FenceReported(
                command.runner,
                command.incarnation,
                True,
                listed.runner_incarnation,
                listed.reports,
            )
        path = "/v1/stop" if isinstance(command, StopTasks) else "/v1/settle"
        body = keys_body(command.runner_incarnation, command.keys)
        listed = parse_reports(self._exchange(address, "POST", path, body))
        return SettleReported(
            command.runner,
            command.keys,
            True,
            listed.runner_incarnation,
            listed.reports,
        )

    def _exchange(
        self, address: str, method: str, path: str, body: bytes | None = None
    ) -> bytes:
        """Send a request on a separate connection and return the body of the reply."""
        settings = self._settings()
        pool = HTTPConnectionPool(*_host_and_port(address), maxsize=1)
        timeout = Timeout(
            connect=settings.connect_timeout_ms / 1000,
            read=settings.settle_timeout_ms / 1000,
        )
        try:
            response = pool.urlopen(
                method,
                path,
                body=body,
                headers={**_HEADERS, "Connection": "close"},
                redirect=False,
                retries=False,
                preload_content=False,
                timeout=timeout,
            )
            content = response.read(MAX_REPLY_BYTES + 1)
            if response.status != 200 or len(content) > MAX_REPLY_BYTES:
                raise MalformedInput("reply", f"status {response.status}")
            return content
        finally:
            pool.close()


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _lines(response: BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the lines of a streamed reply as they arrive.

    Raises
    ------
    MalformedInput
        If a line exceeds `MAX_LINE_BYTES`.
    """
    rest = b""
    for chunk in response.stream(READ_BYTES):
        *whole, rest = (rest + chunk).split(b"\n")
        yield from whole
        if len(rest) > MAX_LINE_BYTES:
            raise MalformedInput("line", f"longer than {MAX_LINE_BYTES} bytes")
    if rest:
        raise MalformedInput("line", "the stream ended within a line")


def unreachable_event(command: Settle | StopTasks | Fence | Probe) -> Event:
    """Return the event that reports a query without a reply."""
    if isinstance(command, Probe):
        return ProbeReported(command.runner, reachable=False)
    if isinstance(command, Fence):
        return FenceReported(command.runner, command.incarnation, reachable=False)
    return SettleReported(command.runner, command.keys, reachable=False)
