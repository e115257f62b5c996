"""Tests of connections that are accepted while the listener closes."""

import asyncio
import gc
import socket

from sassafrasloft.event_loop.http_messages import HttpRequest, HttpResponse
from sassafrasloft.event_loop.http_server import HttpServer
from sassafrasloft.workload import HttpLimits

ANSWER_S = 1.0


class Application:
    """Answers each request immediately."""

    def __init__(self):
        self.server = HttpServer(self, HttpLimits())

    def handle_request(self, request_id: int, request: HttpRequest) -> None:
        self.server.answer(request_id, HttpResponse.json(200, {}))

    def handle_disconnect(self, request_id: int, reset: bool) -> None:
        pass


def test_connection_accepted_while_listener_closes_is_answered_or_closed():
    """Guards against requests that are never read before the process exits.

    The timer closes the listener after the socket is accepted and before asyncio
    creates its transport.
    """

    async def scenario():
        server = Application().server
        await server.listen("127.0.0.1", 0)
        address = server._server.sockets[0].getsockname()
        with socket.create_connection(address) as client:
            client.sendall(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            asyncio.get_running_loop().call_later(0, server.close_listener)
            client.settimeout(ANSWER_S)
            try:
                return await asyncio.to_thread(client.recv, 1_000)
            except ConnectionResetError:
                return b""

    gc.disable()
    try:
        asyncio.run(scenario())
    finally:
        gc.enable()
