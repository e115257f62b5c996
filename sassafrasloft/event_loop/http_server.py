"""Serves HTTP/1.1 on the event loop; one request at a time per connection."""

import asyncio
from typing import Protocol

import httptools

from sassafrasloft.event_loop.http_messages import HttpRequest, HttpResponse
from sassafrasloft.workload import HttpLimits

_MS_IN_SECOND = 1_000
LINGER_S = 1.0
"""How long a connection stays open after an error response, so that the client
reads it before a reset for unread bytes."""

ACCEPTED_S = 0.02
"""After the last connection was accepted: its transport is made in the loop's next
turns."""


class HttpApplication(Protocol):
    """What answers the requests of a server."""

    def take_request(self, request_id: int, request: HttpRequest) -> None:
        """Take a request; it is answered later with `HttpServer.answer`."""

    def lose_request(self, request_id: int, reset: bool) -> None:
        """Note that the client of an unanswered request is gone."""


class HttpServer:
    """A listener and its connections.

    Parameters
    ----------
    application : HttpApplication
    limits : HttpLimits
        Bounds of size and time; may be replaced at any time.
    """

    def __init__(self, application: HttpApplication, limits: HttpLimits) -> None:
        self.application = application
        self.limits = limits
        self.stopping = False
        """Whether responses ask clients to connect elsewhere."""
        self._server: asyncio.Server | None = None
        self._waiting: dict[int, _ServerConnection] = {}
        self._connections: set[_ServerConnection] = set()
        self._last_id = 0
        self._paused = False

    async def listen(self, host: str, port: int) -> None:
        """Bind the address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self), host, port, backlog=512
        )

    def close_listener(self) -> None:
        """Accept no more connections and close the idle ones."""
        server, self._server = self._server, None
        if server is not None:
            loop = asyncio.get_running_loop()
            for listening in server.sockets:
                loop.remove_reader(listening.fileno())
            # asyncio serves what it has accepted only while the server is open.
            loop.call_later(ACCEPTED_S, server.close)
        for connection in list(self._connections):
            connection.close_if_idle()

    def pause_reading(self, paused: bool) -> None:
        """Read no connections, or read them again."""
        self._paused = paused
        for connection in self._connections:
            connection.pause_reading(paused)

    def answer(self, request_id: int, response: HttpResponse) -> None:
        """Answer a request; without effect if its client is gone."""
        connection = self._waiting.pop(request_id, None)
        if connection is not None:
            connection.respond(response)

    def begin(self, connection: "_ServerConnection", request: HttpRequest) -> int:
        """Hand a whole request to the application; return its id."""
        self._last_id += 1
        request_id = self._last_id
        self._waiting[request_id] = connection
        connection.request_id = request_id
        self.application.take_request(request_id, request)
        return request_id

    def opened(self, connection: "_ServerConnection") -> None:
        """Keep a new connection."""
        self._connections.add(connection)
        if self._paused:
            connection.pause_reading(True)

    def closed(self, connection: "_ServerConnection", reset: bool) -> None:
        """Forget a connection and the request that waits on it."""
        self._connections.discard(connection)
        if self._waiting.pop(connection.request_id, None) is not None:
            self.application.lose_request(connection.request_id, reset)


class _ServerConnection(asyncio.Protocol):
    """One client's connection; callbacks of httptools build the request."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._target = b""
        self._headers: dict[str, str] = {}
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._queue: list[HttpRequest] = []
        self._failed = False
        self.request_id = 0

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self._transport = transport
        self._server.opened(self)
        self._wait(self._server.limits.idle_timeout_ms)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._failed:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(400, "upgrades are not supported")
        except httptools.HttpParserError as error:
            self._fail(400, f"malformed request: {type(error).__name__}")

    def eof_received(self) -> bool:
        """Take the end of the client's data as the end of the connection."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the application if a request had no answer."""
        self._stop_waiting()
        self._server.closed(self, reset=error is not None)

    # httptools

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target = b""
        self._headers = {}
        self._header_bytes = 0
        self._body = []
        self._body_bytes = 0
        self._wait(self._server.limits.header_timeout_ms)

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._count_header(len(name) + len(value))
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes:
            self._fail(413, f"the body exceeds {self._server.limits.body_bytes} bytes")
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand the request on, after those before it are answered."""
        if self._failed:
            return
        self._stop_waiting()
        request = HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body),
        )
        if self.request_id:
            self._queue.append(request)
        else:
            self._server.begin(self, request)

    # Responses

    def respond(self, response: HttpResponse) -> None:
        """Write a response and go on with the next request."""
        self.request_id = 0
        self._target = b""
        close = self._server.stopping
        self._transport.write(response.to_bytes(close))
        if close:
            self._transport.close()
        elif self._queue:
            self._server.begin(self, self._queue.pop(0))
        else:
            self._wait(self._server.limits.idle_timeout_ms)

    def pause_reading(self, paused: bool) -> None:
        """Leave what arrives to the operating system, or read it again."""
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun."""
        idle = not self.request_id and not self._target
        if idle and self._transport is not None:
            self._transport.close()

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._fail(431, "the header is too large")

    def _fail(self, status: int, reason: str) -> None:
        if self._failed:
            return
        self._failed = True
        self._stop_waiting()
        response = HttpResponse.json(status, {"error": reason})
        self._transport.write(response.to_bytes(close=True))
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)

    def _wait(self, timeout_ms: int) -> None:
        self._stop_waiting()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_ms / _MS_IN_SECOND, self._expire)

    def _stop_waiting(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        self._timer = None
        if self._target and not self.request_id:
            self._fail(408, "the request did not arrive in time")
        elif not self.request_id:
            self._transport.close()
