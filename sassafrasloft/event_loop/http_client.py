"""HTTP/1.1 calls on the event loop, over connections that are kept open."""

import asyncio
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from functools import partial

import attrs
import httptools

from sassafrasloft.clock import Milliseconds
from sassafrasloft.event_loop.deadlines import Deadline, Deadlines

MAX_RESPONSE_BYTES = 8_000_000
"""A value of 1 MB is at most 6 MB as JSON; a longer body is not read."""


READ_BYTES = 65_536
"""Taken from a connection at once."""


class CallFault(StrEnum):
    """Why a call has no response."""

    REFUSED = "refused"
    """The request was not sent: there was no connection."""
    TIMED_OUT = "timed_out"
    BROKEN = "broken"
    """The connection ended after the request was sent."""


@attrs.frozen
class CallResponse:
    """A response."""

    status: int
    body: bytes


OnDone = Callable[[CallResponse | CallFault], None]


@attrs.define(eq=False)
class _Call:
    request: bytes
    done: OnDone
    deadline: Deadline | None = None
    connection: "_ClientConnection | None" = None
    connecting: "asyncio.Task | None" = None

    def finish(self, result: CallResponse | CallFault) -> None:
        """Report the result, once."""
        if self.deadline is not None:
            self.deadline.cancel()
            self.deadline = None
        done, self.done = self.done, _ignore
        done(result)


def _ignore(_: CallResponse | CallFault) -> None:
    """Take a result after the call has ended."""


class HttpClient:
    """Calls to any number of servers.

    Parameters
    ----------
    max_connections : int
        To one server; further calls wait for a free one.
    """

    def __init__(self, max_connections: int) -> None:
        self._max = max_connections
        self._idle: dict[str, list[_ClientConnection]] = {}
        self._open: dict[str, int] = {}
        self._waiting: dict[str, deque[_Call]] = {}
        self._deadlines: Deadlines | None = None
        self.buffer = bytearray(READ_BYTES)
        """For the bytes of one read; shared, since each is handled at once."""
        self.connections_made = 0

    def send(
        self, address: str, request: bytes, timeout_ms: Milliseconds, done: OnDone
    ) -> None:
        """Send a request; `done` is called once, with a response or a fault."""
        if self._deadlines is None:
            self._deadlines = Deadlines(asyncio.get_running_loop())
        call = _Call(request, done)
        call.deadline = self._deadlines.set(
            timeout_ms, partial(self._time_out, address, call)
        )
        self._dispatch(address, call)

    def _dispatch(self, address: str, call: _Call) -> None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.alive:
                connection.send(call)
                return
        if self._open.get(address, 0) >= self._max:
            self._waiting.setdefault(address, deque()).append(call)
            return
        self._open[address] = self._open.get(address, 0) + 1
        loop = asyncio.get_running_loop()
        call.connecting = loop.create_task(self._connect(address, call))

    async def _connect(self, address: str, call: _Call) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: _ClientConnection(self, address), host, int(port)
            )
        except (OSError, asyncio.CancelledError):
            self._release(address)
            call.finish(CallFault.REFUSED)
            return
        self.connections_made += 1
        call.connecting = None
        if call.deadline is None:
            self.free(address, connection)
        else:
            connection.send(call)

    def _time_out(self, address: str, call: _Call) -> None:
        call.deadline = None
        if call.connecting is not None:
            call.connecting.cancel()
            return
        if call.connection is not None:
            call.connection.abort()
            call.finish(CallFault.TIMED_OUT)
            return
        waiting = self._waiting.get(address)
        if waiting and call in waiting:
            waiting.remove(call)
        call.finish(CallFault.REFUSED)

    def free(self, address: str, connection: "_ClientConnection") -> None:
        """Use a connection for the next waiting call, or keep it."""
        waiting = self._waiting.get(address)
        if waiting:
            connection.send(waiting.popleft())
        else:
            self._idle.setdefault(address, []).append(connection)

    def lost(self, address: str, connection: "_ClientConnection") -> None:
        """Forget a closed connection."""
        idle = self._idle.get(address)
        if idle and connection in idle:
            idle.remove(connection)
        self._release(address)

    def _release(self, address: str) -> None:
        self._open[address] -= 1
        waiting = self._waiting.get(address)
        if waiting:
            self._dispatch(address, waiting.popleft())


class _ClientConnection(asyncio.BufferedProtocol):
    """One connection to a server; one call at a time."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address
        self._transport: asyncio.Transport | None = None
        self._call: _Call | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._size = 0
        self._responses = 0
        self._complete = False
        self._keep = False
        self.alive = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self._transport = transport

    def send(self, call: _Call) -> None:
        """Send a request."""
        self._call = call
        call.connection = self
        self._body = []
        self._size = 0
        self._responses = 0
        self._complete = False
        self._transport.write(call.request)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where the next bytes are to be written."""
        return self._client.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what arrived."""
        if self._call is None:
            self.abort()
            return
        try:
            self._parser.feed_data(memoryview(self._client.buffer)[:nbytes])
        except httptools.HttpParserError:
            self.abort()
            return
        if self._complete:
            self._finish()

    def on_message_begin(self) -> None:
        """Count the responses that have begun."""
        self._responses += 1

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._size += len(body)
        if self._size <= MAX_RESPONSE_BYTES:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Note that the response is whole, and whether another may follow it."""
        self._complete = True
        self._keep = self._parser.should_keep_alive()

    def _finish(self) -> None:
        call, self._call = self._call, None
        call.connection = None
        status = self._parser.get_status_code()
        # More than one response would pass for that of the next call.
        one = self._responses == 1
        keep = self._keep and one and self._size <= MAX_RESPONSE_BYTES
        if keep:
            self._client.free(self._address, self)
        else:
            self.abort()
        if self._size > MAX_RESPONSE_BYTES:
            call.finish(CallFault.BROKEN)
        else:
            call.finish(CallResponse(status, b"".join(self._body)))

    def abort(self) -> None:
        """Close the connection at once."""
        self.alive = False
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the fault of an open call."""
        self.alive = False
        self._client.lost(self._address, self)
        call, self._call = self._call, None
        if call is not None:
            call.connection = None
            call.finish(CallFault.BROKEN)
