"""An HTTP/1.1 client on the event loop, with persistent connections."""

import asyncio
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from functools import partial
from math import ceil

import attrs
import httptools

from sassafrasloft.clock import Milliseconds
from sassafrasloft.event_loop.deadlines import Deadline, Deadlines
from sassafrasloft.metadata import TransferLimits

MAX_RESPONSE_BYTES = 8_000_000
"""Longer bodies are rejected. A value of 1 MB takes at most 6 MB as JSON."""

MS_IN_SECOND = 1_000
READ_BYTES = 65_536
"""The maximum number of bytes in one read from a connection."""


class CallFailure(StrEnum):
    """The reason why a call has no response."""

    REFUSED = "refused"
    """The request was not sent because no connection was available."""
    TIMED_OUT = "timed_out"
    """No part of the response arrived in time."""
    INCOMPLETE = "incomplete"
    """A part of the response arrived in time, but not the whole."""
    TOO_LARGE = "too_large"
    """The response is longer than `MAX_RESPONSE_BYTES`."""
    BROKEN = "broken"
    """The connection closed after the request was sent, or the response was invalid."""


@attrs.frozen
class CallResponse:
    """The status and the body of an HTTP response."""

    status: int
    body: bytes


ResultCallback = Callable[[CallResponse | CallFailure], None]


@attrs.define(eq=False)
class _Call:
    request: bytes
    on_result: ResultCallback
    transfer: TransferLimits | None = None
    deadline: Deadline | None = None
    connection: "_ClientConnection | None" = None
    connecting: "asyncio.Task | None" = None

    def finish(self, result: CallResponse | CallFailure) -> None:
        """Pass on the first result and ignore any later one."""
        if self.deadline is not None:
            self.deadline.cancel()
            self.deadline = None
        on_result, self.on_result = self.on_result, _ignore_result
        on_result(result)


def _ignore_result(_: CallResponse | CallFailure) -> None:
    """Ignore a result that arrives after the call has ended."""


class HttpClient:
    """Sends requests to any number of servers.

    Parameters
    ----------
    max_connections : int
        The maximum number of connections to one server; further calls wait until one
        is free.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._idle_connections: dict[str, list[_ClientConnection]] = {}
        self._open_count: dict[str, int] = {}
        self._waiting_calls: dict[str, deque[_Call]] = {}
        self._deadlines: Deadlines | None = None
        self.buffer = bytearray(READ_BYTES)
        """The read buffer of all connections; each read is parsed before the next."""
        self.connections_made = 0

    def send(
        self,
        address: str,
        request: bytes,
        timeout_ms: Milliseconds,
        on_result: ResultCallback,
        transfer: TransferLimits | None = None,
    ) -> None:
        """Send a request; `on_result` is called once, with a response or a fault.

        Parameters
        ----------
        address : str
        request : bytes
        timeout_ms : Milliseconds
            Time limit for the beginning of the response, or for the whole of it if
            there are no limits of its transfer.
        on_result : callable
        transfer : TransferLimits, optional
        """
        if self._deadlines is None:
            self._deadlines = Deadlines(asyncio.get_running_loop())
        call = _Call(request, on_result, transfer)
        call.deadline = self._deadlines.set(
            timeout_ms, partial(self._handle_timeout, address, call)
        )
        self._dispatch(address, call)

    def _dispatch(self, address: str, call: _Call) -> None:
        idle = self._idle_connections.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_open:
                connection.send(call)
                return
        if self._open_count.get(address, 0) >= self._max_connections:
            self._waiting_calls.setdefault(address, deque()).append(call)
            return
        self._open_count[address] = self._open_count.get(address, 0) + 1
        loop = asyncio.get_running_loop()
        call.connecting = loop.create_task(self._connect(address, call))

    async def _connect(self, address: str, call: _Call) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        # An address that is no address raises a ValueError or an OverflowError.
        try:
            _, connection = await loop.create_connection(
                lambda: _ClientConnection(self, address), host, int(port)
            )
        except (OSError, ValueError, OverflowError, asyncio.CancelledError):
            self._release_slot(address)
            call.finish(CallFailure.REFUSED)
            return
        self.connections_made += 1
        call.connecting = None
        if call.deadline is None:
            self.release_connection(address, connection)
        else:
            connection.send(call)

    def _handle_timeout(self, address: str, call: _Call) -> None:
        call.deadline = None
        if call.connecting is not None:
            call.connecting.cancel()
            return
        if call.connection is not None:
            has_begun = call.connection.response_has_begun
            remaining_ms = call.connection.transfer_time_left(call.transfer)
            if remaining_ms > 0:
                call.deadline = self._deadlines.set(
                    remaining_ms, partial(self._handle_timeout, address, call)
                )
                return
            call.connection.abort()
            call.finish(CallFailure.INCOMPLETE if has_begun else CallFailure.TIMED_OUT)
            return
        waiting = self._waiting_calls.get(address)
        if waiting and call in waiting:
            waiting.remove(call)
        call.finish(CallFailure.REFUSED)

    def release_connection(self, address: str, connection: "_ClientConnection") -> None:
        """Reuse a connection for the next waiting call, or keep it as idle."""
        waiting = self._waiting_calls.get(address)
        if waiting:
            connection.send(waiting.popleft())
        else:
            self._idle_connections.setdefault(address, []).append(connection)

    def remove_connection(self, address: str, connection: "_ClientConnection") -> None:
        """Remove a closed connection and start the next waiting call, if any."""
        idle = self._idle_connections.get(address)
        if idle and connection in idle:
            idle.remove(connection)
        self._release_slot(address)

    def _release_slot(self, address: str) -> None:
        self._open_count[address] -= 1
        waiting = self._waiting_calls.get(address)
        if waiting:
            self._dispatch(address, waiting.popleft())


class _ClientConnection(asyncio.BufferedProtocol):
    """One connection to a server, which carries one call at a time."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._call: _Call | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body_parts: list[bytes] = []
        self._body_size = 0
        self._response_count = 0
        self._first_byte_s = 0.0
        self._last_byte_s = 0.0
        self._is_complete = False
        self._keep_alive = False
        self.is_open = True

    @property
    def response_has_begun(self) -> bool:
        """Whether a part of the response to the open call has arrived."""
        return self._response_count > 0

    def transfer_time_left(self, limits: TransferLimits | None) -> Milliseconds:
        """Return for how long the response may go on without any further byte."""
        if limits is None or not self.response_has_begun:
            return 0
        stall_due_s = self._last_byte_s + limits.stall_ms / MS_IN_SECOND
        whole_due_s = self._first_byte_s + limits.longest_ms / MS_IN_SECOND
        left_s = min(stall_due_s, whole_due_s) - self._loop.time()
        return ceil(left_s * MS_IN_SECOND)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = transport

    def send(self, call: _Call) -> None:
        """Send the request of a call and reset the response state."""
        self._call = call
        call.connection = self
        self._body_parts = []
        self._body_size = 0
        self._response_count = 0
        self._is_complete = False
        self._transport.write(call.request)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the shared read buffer."""
        return self._client.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the received bytes; bytes without an open call close the connection."""
        if self._call is None:
            self.abort()
            return
        self._last_byte_s = self._loop.time()
        try:
            self._parser.feed_data(memoryview(self._client.buffer)[:nbytes])
        except httptools.HttpParserError:
            self.abort()
            return
        if self._is_complete:
            self._finish_call()

    def on_message_begin(self) -> None:
        """Count the responses that have started since the request."""
        self._response_count += 1
        if self._response_count == 1:
            self._first_byte_s = self._last_byte_s

    def on_body(self, body: bytes) -> None:
        """Store a part of the body, up to `MAX_RESPONSE_BYTES`."""
        self._body_size += len(body)
        if self._body_size <= MAX_RESPONSE_BYTES:
            self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Record that the response is complete and whether the connection persists."""
        self._is_complete = True
        self._keep_alive = self._parser.should_keep_alive()

    def _finish_call(self) -> None:
        call, self._call = self._call, None
        call.connection = None
        status = self._parser.get_status_code()
        # A surplus response would be taken as the response to the next call.
        is_only_response = self._response_count == 1
        is_reusable = (
            self._keep_alive
            and is_only_response
            and self._body_size <= MAX_RESPONSE_BYTES
        )
        if is_reusable:
            self._client.release_connection(self._address, self)
        else:
            self.abort()
        if self._body_size > MAX_RESPONSE_BYTES:
            call.finish(CallFailure.TOO_LARGE)
        else:
            call.finish(CallResponse(status, b"".join(self._body_parts)))

    def abort(self) -> None:
        """Close the connection immediately, without flushing unsent data."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection and report its open call, if any, as broken."""
        self.is_open = False
        self._client.remove_connection(self._address, self)
        call, self._call = self._call, None
        if call is not None:
            call.connection = None
            call.finish(CallFailure.BROKEN)
