"""An HTTP/1.1 server on the event loop; each connection has one request at a time."""

import asyncio
from typing import Protocol

import httptools

from sassafrasloft.event_loop.http_messages import HttpRequest, HttpResponse
from sassafrasloft.workload import HttpLimits

_MS_IN_SECOND = 1_000
ERROR_LINGER_S = 1.0
"""How long a connection stays open after an error response. Closing it with unread
bytes resets it, and the client could then lose the response."""
ACCEPT_GRACE_S = 0.02
"""How long the server stays open after its listener has stopped accepting. The loop
creates the transport of the last accepted connection in its next iterations."""


class HttpApplication(Protocol):
    """The application that answers the requests of a server."""

    def handle_request(self, request_id: int, request: HttpRequest) -> None:
        """Handle a request, which is answered with `HttpServer.answer`."""

    def handle_disconnect(self, request_id: int, reset: bool) -> None:
        """Handle the disconnect of the client of an unanswered request."""


class HttpServer:
    """A listener and its connections.

    Parameters
    ----------
    application : HttpApplication
    limits : HttpLimits
        Limits on sizes and times; may be replaced at any time.
    """

    def __init__(self, application: HttpApplication, limits: HttpLimits) -> None:
        self.application = application
        self.limits = limits
        self.stopping = False
        """Whether responses close connections, so that clients connect elsewhere."""
        self._server: asyncio.Server | None = None
        self._unanswered: dict[int, _ServerConnection] = {}
        self._connections: set[_ServerConnection] = set()
        self._last_id = 0
        self._paused = False

    async def listen(self, host: str, port: int) -> None:
        """Bind the address and accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self), host, port, backlog=512
        )

    def close_listener(self) -> None:
        """Stop accepting connections and close the idle ones."""
        server, self._server = self._server, None
        if server is not None:
            loop = asyncio.get_running_loop()
            for listening_socket in server.sockets:
                loop.remove_reader(listening_socket.fileno())
            # asyncio serves accepted connections only while the server is open.
            loop.call_later(ACCEPT_GRACE_S, server.close)
        for connection in list(self._connections):
            connection.close_if_idle()

    def pause_reading(self, paused: bool) -> None:
        """Pause or resume reading from all connections."""
        self._paused = paused
        for connection in self._connections:
            connection.pause_reading(paused)

    def answer(self, request_id: int, response: HttpResponse) -> None:
        """Answer a request; has no effect if its client has disconnected."""
        connection = self._unanswered.pop(request_id, None)
        if connection is not None:
            connection.respond(response)

    def start_request(
        self, connection: "_ServerConnection", request: HttpRequest
    ) -> int:
        """Pass a complete request to the application and return its id."""
        self._last_id += 1
        request_id = self._last_id
        self._unanswered[request_id] = connection
        connection.request_id = request_id
        self.application.handle_request(request_id, request)
        return request_id

    def add_connection(self, connection: "_ServerConnection") -> None:
        """Register a new connection."""
        self._connections.add(connection)
        if self._paused:
            connection.pause_reading(True)

    def remove_connection(self, connection: "_ServerConnection", reset: bool) -> None:
        """Remove a closed connection and report its unanswered request, if any."""
        self._connections.discard(connection)
        if self._unanswered.pop(connection.request_id, None) is not None:
            self.application.handle_disconnect(connection.request_id, reset)


class _ServerConnection(asyncio.Protocol):
    """The connection of one client; httptools callbacks assemble its requests."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._target = b""
        self._headers: dict[str, str] = {}
        self._header_bytes = 0
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._pipelined_requests: list[HttpRequest] = []
        self._is_rejected = False
        self.request_id = 0

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timeout."""
        self._transport = transport
        self._server.add_connection(self)
        self._start_timer(self._server.limits.idle_timeout_ms)

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes."""
        if self._is_rejected:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrades are not supported")
        except httptools.HttpParserError as error:
            self._reject(400, f"malformed request: {type(error).__name__}")

    def eof_received(self) -> bool:
        """Close the connection when the client closes its sending side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection; its unanswered request is reported."""
        self._cancel_timer()
        self._server.remove_connection(self, reset=error is not None)

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Reset the request state and start the header timeout."""
        self._target = b""
        self._headers = {}
        self._header_bytes = 0
        self._body_parts = []
        self._body_bytes = 0
        self._start_timer(self._server.limits.header_timeout_ms)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url
        self._add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._add_header_bytes(len(name) + len(value))
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, or reject a body that is too large."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes:
            self._reject(
                413, f"the body exceeds {self._server.limits.body_bytes} bytes"
            )
        else:
            self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Start the request, or queue it until earlier requests are answered."""
        if self._is_rejected:
            return
        self._cancel_timer()
        request = HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body_parts),
        )
        if self.request_id:
            self._pipelined_requests.append(request)
        else:
            self._server.start_request(self, request)

    # Responses

    def respond(self, response: HttpResponse) -> None:
        """Write a response and start the next pipelined request, if any."""
        self.request_id = 0
        self._target = b""
        close = self._server.stopping
        self._transport.write(response.to_bytes(close))
        if close:
            self._transport.close()
        elif self._pipelined_requests:
            self._server.start_request(self, self._pipelined_requests.pop(0))
        else:
            self._start_timer(self._server.limits.idle_timeout_ms)

    def pause_reading(self, paused: bool) -> None:
        """Pause or resume reading; while paused, the kernel buffers incoming data."""
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being received or answered."""
        idle = not self.request_id and not self._target
        if idle and self._transport is not None:
            self._transport.close()

    def _add_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._reject(431, "the header is too large")

    def _reject(self, status: int, reason: str) -> None:
        if self._is_rejected:
            return
        self._is_rejected = True
        self._cancel_timer()
        response = HttpResponse.json(status, {"error": reason})
        self._transport.write(response.to_bytes(close=True))
        asyncio.get_running_loop().call_later(ERROR_LINGER_S, self._transport.close)

    def _start_timer(self, timeout_ms: int) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_ms / _MS_IN_SECOND, self._handle_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        self._timer = None
        if self._target and not self.request_id:
            self._reject(408, "the request did not arrive in time")
        elif not self.request_id:
            self._transport.close()
