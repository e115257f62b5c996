"""Tests of the HTTP server and client over loopback connections."""

import asyncio
import socket
import struct

import pytest

from sassafrasloft.event_loop.http_client import CallFailure, CallResponse, HttpClient
from sassafrasloft.event_loop.http_messages import HttpResponse, request_bytes
from sassafrasloft.event_loop.http_server import HttpServer
from sassafrasloft.metadata import TransferLimits
from sassafrasloft.workload import HttpLimits

HOST = "127.0.0.1"


class EchoApplication:
    """Answers each request with its method and path, immediately or on `answer`."""

    def __init__(self, answers_later=False):
        self.server = HttpServer(self, HttpLimits())
        self.answers_later = answers_later
        self.requests = []
        self.disconnects = []

    def handle_request(self, request_id, request):
        self.requests.append((request_id, request))
        if not self.answers_later:
            self.answer(request_id, request)

    def answer(self, request_id, request):
        body = f"{request.method} {request.path}".encode()
        self.server.answer(request_id, HttpResponse(200, body))

    def handle_disconnect(self, request_id, reset):
        self.disconnects.append((request_id, reset))

    async def start(self):
        await self.server.listen(HOST, 0)
        listener = self.server._server.sockets[0]
        self.port = listener.getsockname()[1]
        return f"{HOST}:{self.port}"


async def wait_until(condition):
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.002)


def call(client, address, timeout_ms=1_000, path="/a"):
    future = asyncio.get_running_loop().create_future()
    request = request_bytes("GET", path, address)
    client.send(address, request, timeout_ms, future.set_result)
    return future


def test_sequential_calls_share_one_connection():
    """Guards against opening a new connection for each call."""

    async def scenario():
        echo, client = EchoApplication(), HttpClient(4)
        address = await echo.start()
        for number in range(5):
            reply = await call(client, address, path=f"/{number}")
            assert reply == CallResponse(200, f"GET /{number}".encode())
        assert client.connections_made == 1

    asyncio.run(scenario())


def test_calls_beyond_the_connection_limit_wait():
    async def scenario():
        echo, client = EchoApplication(answers_later=True), HttpClient(2)
        address = await echo.start()
        calls = [call(client, address) for _ in range(3)]
        await wait_until(lambda: len(echo.requests) == 2)
        echo.answer(*echo.requests[0])
        await wait_until(lambda: len(echo.requests) == 3)
        for one in echo.requests[1:]:
            echo.answer(*one)
        assert [(await one).status for one in calls] == [200, 200, 200]
        assert client.connections_made == 2

    asyncio.run(scenario())


def test_call_times_out_without_response_and_is_refused_without_server():
    async def scenario():
        echo, client = EchoApplication(answers_later=True), HttpClient(2)
        address = await echo.start()
        assert await call(client, address, timeout_ms=30) is CallFailure.TIMED_OUT
        echo.server.close_listener()
        await asyncio.sleep(0)
        assert await call(client, f"{HOST}:9") is CallFailure.REFUSED

    asyncio.run(scenario())


def test_response_after_the_timeout_does_not_reach_the_next_call():
    async def scenario():
        echo, client = EchoApplication(answers_later=True), HttpClient(1)
        address = await echo.start()
        assert await call(client, address, timeout_ms=30) is CallFailure.TIMED_OUT
        second = call(client, address, path="/second")
        await wait_until(lambda: len(echo.requests) == 2)
        for one in echo.requests:
            echo.answer(*one)
        assert (await second).body == b"GET /second"

    asyncio.run(scenario())


def test_idle_connections_that_have_served_a_request_close_with_the_listener():
    """Guards against requests that are received by a process about to exit.

    The failure occurs when a connection that has served a request is not considered
    idle and stays open.
    """

    async def scenario():
        echo = EchoApplication()
        await echo.start()
        reader, writer = await asyncio.open_connection(HOST, echo.port)
        writer.write(request_bytes("GET", "/a", HOST))
        assert (await reader.readuntil(b"GET /a")).startswith(b"HTTP/1.1 200")
        echo.server.close_listener()
        assert await asyncio.wait_for(reader.read(), 1) == b""

    asyncio.run(scenario())


def test_open_request_is_answered_after_the_listener_has_closed():
    async def scenario():
        echo = EchoApplication(answers_later=True)
        await echo.start()
        reader, writer = await asyncio.open_connection(HOST, echo.port)
        writer.write(request_bytes("GET", "/a", HOST))
        await wait_until(lambda: echo.requests)
        echo.server.stopping = True
        echo.server.close_listener()
        echo.answer(*echo.requests[0])
        data = await asyncio.wait_for(reader.read(), 1)
        assert data.endswith(b"GET /a") and b"Connection: close" in data

    asyncio.run(scenario())


@pytest.mark.parametrize("reset", [True, False])
def test_client_disconnect_is_reported(reset):
    async def scenario():
        echo = EchoApplication(answers_later=True)
        await echo.start()
        _, writer = await asyncio.open_connection(HOST, echo.port)
        writer.write(request_bytes("GET", "/a", HOST))
        await wait_until(lambda: echo.requests)
        if reset:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
        await wait_until(lambda: echo.disconnects)
        assert echo.disconnects == [(1, reset)]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n\r\n", b"413"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 20_000 + b"\r\n\r\n", b"431"),
    ],
)
def test_invalid_request_gets_an_error_and_the_server_continues(data, status):
    async def scenario():
        echo = EchoApplication()
        await echo.start()
        reader, writer = await asyncio.open_connection(HOST, echo.port)
        writer.write(data + b"x" * 300_000)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n"), 2)
        assert status in head
        other, writer = await asyncio.open_connection(HOST, echo.port)
        writer.write(request_bytes("GET", "/b", HOST))
        assert b"200" in await asyncio.wait_for(other.readuntil(b"\r\n"), 2)

    asyncio.run(scenario())


def test_paused_server_answers_old_and_new_connections_after_resuming():
    """Guards against reading requests while reading is paused."""

    async def scenario():
        echo, client = EchoApplication(), HttpClient(2)
        address = await echo.start()
        await call(client, address)
        echo.server.pause_reading(True)
        calls = [call(client, address) for _ in range(2)]
        await asyncio.sleep(0.02)
        assert len(echo.requests) == 1
        echo.server.pause_reading(False)
        assert [(await one).status for one in calls] == [200, 200]

    asyncio.run(scenario())


@pytest.mark.parametrize("surplus", [b"HTTP/1.1 200", b"HTTP/1.1 200 OK\r\nX: 1\r\n"])
def test_start_of_a_surplus_response_does_not_reach_the_next_call(surplus):
    """Guards against surplus bytes in the parser, which is kept between calls."""

    async def scenario():
        async def answer(reader, writer):
            while await reader.readuntil(b"\r\n\r\n"):
                response = HttpResponse(200, b"own").to_bytes(close=False)
                writer.write(response + surplus)

        server = await asyncio.start_server(answer, HOST, 0)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        client = HttpClient(1)
        for _ in range(3):
            assert await call(client, address) == CallResponse(200, b"own")
        assert client.connections_made == 3
        server.close()

    asyncio.run(scenario())


def test_response_in_many_parts_is_complete():
    async def scenario():
        async def answer(reader, writer):
            while await reader.readuntil(b"\r\n\r\n"):
                data = HttpResponse(200, b"x" * 200_000).to_bytes(close=False)
                for first in range(0, len(data), 9_999):
                    writer.write(data[first : first + 9_999])
                    await writer.drain()

        server = await asyncio.start_server(answer, HOST, 0)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        client = HttpClient(1)
        for _ in range(2):
            response = await call(client, address)
            assert response == CallResponse(200, b"x" * 200_000)
        assert client.connections_made == 1
        server.close()

    asyncio.run(scenario())


def test_call_that_times_out_amid_its_response_is_reported_as_incomplete():
    """Guards against taking a slow link for a silent server."""

    async def scenario():
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")

        server = await asyncio.start_server(answer, HOST, 0)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        result = await call(HttpClient(1), address, timeout_ms=50)
        assert result is CallFailure.INCOMPLETE
        server.close()

    asyncio.run(scenario())


UNLIMITED_MS = 60_000


@pytest.mark.parametrize(
    ("limits", "parts", "expected"),
    [
        (None, 10, CallFailure.INCOMPLETE),
        (TransferLimits(UNLIMITED_MS, UNLIMITED_MS), 10, CallResponse(200, b"x" * 10)),
        (TransferLimits(100, UNLIMITED_MS), 3, CallFailure.INCOMPLETE),
        (TransferLimits(UNLIMITED_MS, 100), 9, CallFailure.INCOMPLETE),
    ],
)
def test_response_longer_than_the_timeout_arrives_within_its_transfer_limits(
    limits, parts, expected
):
    """Guards against giving up a transfer that goes on, and against an endless one.

    The ten parts of the response take 200 ms; the server may send fewer of them.
    """

    async def scenario():
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
            for _ in range(parts):
                await asyncio.sleep(0.02)
                writer.write(b"x")

        server = await asyncio.start_server(answer, HOST, 0)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        result = asyncio.get_running_loop().create_future()
        request = request_bytes("GET", "/a", address)
        HttpClient(1).send(address, request, 50, result.set_result, limits)
        assert await asyncio.wait_for(result, 5) == expected
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("port", ["x", "", "99999"])
def test_call_to_invalid_address_fails_at_once(port):
    """Guards against a call that never gets a result, and keeps its connection."""

    async def scenario():
        client = HttpClient(1)
        for _ in range(2):
            result = await call(client, f"{HOST}:{port}")
            assert result is CallFailure.REFUSED

    asyncio.run(asyncio.wait_for(scenario(), 5))


def test_connection_attempt_ends_with_its_call():
    """Guards against attempts that go on after their calls, and use up all slots.

    The listener accepts nothing and its queue is full, so that packets which open a
    connection are dropped.
    """

    async def scenario():
        with socket.socket() as listener, socket.socket() as first:
            listener.bind((HOST, 0))
            listener.listen(0)
            first.connect(listener.getsockname())
            client = HttpClient(1)
            address = f"{HOST}:{listener.getsockname()[1]}"
            for _ in range(3):
                assert await call(client, address, 30) is CallFailure.REFUSED
            await asyncio.sleep(0)
            assert asyncio.all_tasks() == {asyncio.current_task()}

    asyncio.run(scenario())
