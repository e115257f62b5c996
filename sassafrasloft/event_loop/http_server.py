"""An HTTP/1.1 server on the event loop; each connection has one request at a time."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from sassafrasloft.event_loop.http_connection import ServerConnection
from sassafrasloft.event_loop.http_messages import HttpRequest, HttpResponse
from sassafrasloft.event_loop.ingress_budget import (
    IngressBudget,
    IngressLimits,
    connection_to_close,
)
from sassafrasloft.workload import HttpLimits

READ_BYTES = 16_384
"""The maximum number of bytes in one read."""
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
        Limits on sizes and times of a request; may be replaced at any time.
    ingress : IngressLimits, optional
        Limits of all requests and connections; by default those of a small machine.
    kept_headers : frozenset of str, optional
        Names of the headers that requests keep, in lower case; by default all. Others
        count towards the limit of a head, and take no memory.
    on_refusal : callable, optional
        Called when a request is refused unread or a connection is closed for others.
    """

    def __init__(
        self,
        application: HttpApplication,
        limits: HttpLimits,
        ingress: IngressLimits | None = None,
        kept_headers: frozenset[str] | None = None,
        on_refusal: Callable[[], None] | None = None,
    ) -> None:
        self.application = application
        self.limits = limits
        self.budget: IngressBudget[ServerConnection] = IngressBudget(
            ingress or IngressLimits.of_machine(0, 0)
        )
        self.kept_headers = kept_headers
        self.buffer = bytearray(READ_BYTES)
        """The read buffer of all connections; each read is parsed before the next."""
        self._on_refusal = on_refusal
        self.stopping = False
        """Whether responses close connections, so that clients connect elsewhere."""
        self._server: asyncio.Server | None = None
        self._unanswered: dict[int, ServerConnection] = {}
        self._connections: dict[ServerConnection, None] = {}
        """Open connections, oldest first."""
        self._last_id = 0
        self.paused = False
        """Whether no connection is read."""

    async def listen(self, host: str, port: int) -> None:
        """Bind the address and accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=512
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
        self.paused = paused
        for connection in self._connections:
            connection.update_reading()

    def answer(self, request_id: int, response: HttpResponse) -> None:
        """Answer a request; has no effect if its client has disconnected."""
        connection = self._unanswered.pop(request_id, None)
        if connection is not None:
            connection.respond(response)

    def start_request(self, connection: ServerConnection, request: HttpRequest) -> int:
        """Pass a complete request to the application and return its id."""
        self._last_id += 1
        request_id = self._last_id
        self._unanswered[request_id] = connection
        connection.request_id = request_id
        self.application.handle_request(request_id, request)
        return request_id

    def add_connection(self, connection: ServerConnection) -> bool:
        """Register a new connection, if need be in place of another one.

        Returns
        -------
        bool
            False if there is no room for it.
        """
        if len(self._connections) >= self.budget.limits.connections:
            other = connection_to_close(
                (one for one in self._connections if one.is_idle),
                (one for one in self._connections if one.is_receiving),
            )
            self.count_refusal("connections")
            if other is None:
                return False
            del self._connections[other]
            other.give_up()
        self._connections[connection] = None
        return True

    def remove_connection(self, connection: ServerConnection, reset: bool) -> None:
        """Remove a closed connection and report its unanswered request, if any."""
        self._connections.pop(connection, None)
        self.budget.release(connection)
        if self._unanswered.pop(connection.request_id, None) is not None:
            self.application.handle_disconnect(connection.request_id, reset)

    def hold(self, connection: ServerConnection, unread: int, unanswered: int) -> None:
        """Account for what a connection holds, and refuse what exceeds the budget."""
        for one in self.budget.hold(connection, unread, unanswered):
            self.count_refusal("memory")
            one.refuse_for_memory()

    def count_refusal(self, cause: str) -> None:
        """Count a request or a connection that was given up."""
        self.budget.refusals[cause] += 1
        if self._on_refusal is not None:
            self._on_refusal()
