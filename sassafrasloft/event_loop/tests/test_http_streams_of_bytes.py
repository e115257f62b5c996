"""Any bytes, cut at any place, give requests, a refusal or a close."""

import asyncio

from hypothesis import example, given, settings
from hypothesis import strategies as st

from sassafrasloft.event_loop.http_connection import ServerConnection
from sassafrasloft.event_loop.http_messages import HttpResponse
from sassafrasloft.event_loop.http_server import HttpServer
from sassafrasloft.event_loop.ingress_budget import IngressLimits
from sassafrasloft.workload import HttpLimits

HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\n"
BODY = b"x" * 300
REQUEST = HEAD + b"Content-Length: 300\r\n\r\n" + BODY
CHUNKED = (
    HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"64;e=1\r\n"
    + b"x" * 100
    + b"\r\nc8\r\n"
    + b"x" * 200
    + b"\r\n0\r\nT: 1\r\n\r\n"
)
LIMITS = HttpLimits(header_bytes=400, body_bytes=1_000)


class FakeTransport:
    """Collects what the server writes."""

    def __init__(self):
        self.written = b""
        self.is_open = True
        self.reading = True

    def set_write_buffer_limits(self, high):
        self.high = high

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        assert self.is_open
        self.written += data

    def close(self):
        self.is_open = False

    abort = close

    def is_closing(self):
        return not self.is_open

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True


class Recorder:
    """Answers each request at once, or keeps it unanswered."""

    def __init__(self, answers):
        self.server = HttpServer(self, LIMITS, IngressLimits(4_000, 4))
        self.answers = answers
        self.requests = []

    def handle_request(self, request_id, request):
        self.requests.append(request)
        if self.answers:
            self.server.answer(request_id, HttpResponse(200))

    def handle_disconnect(self, request_id, reset):
        pass


def feed(pieces, answers=True):
    """Pass pieces of bytes to a connection; return the recorder and the transport."""

    async def scenario():
        recorder, transport = Recorder(answers), FakeTransport()
        connection = ServerConnection(recorder.server)
        connection.connection_made(transport)
        for piece in pieces:
            for _ in range(200):
                if transport.reading or not transport.is_open:
                    break
                await asyncio.sleep(0)
            if not transport.reading or not transport.is_open:
                break
            recorder.server.buffer[: len(piece)] = piece
            connection.buffer_updated(len(piece))
            assert recorder.server.budget.held_bytes <= 4_000 + 2_048
        for _ in range(200):
            await asyncio.sleep(0)
        connection.connection_lost(None)
        assert recorder.server.budget.held_bytes == 0
        return recorder, transport

    return asyncio.run(scenario())


def cut(data, places):
    bounds = [0, *sorted({one % (len(data) + 1) for one in places}), len(data)]
    pieces = (data[a:b] for a, b in zip(bounds, bounds[1:], strict=False))
    return [one for one in pieces if one]


PLACES = st.lists(st.integers(0, 5_000), max_size=12)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from([REQUEST, CHUNKED, b"\r\n"]), max_size=6), PLACES)
def test_well_formed_requests_arrive_whole_however_they_are_cut(parts, places):
    """Guards against requests that depend on how the network cuts them."""
    recorder, transport = feed(cut(b"".join(parts), places))
    assert len(recorder.requests) == sum(one != b"\r\n" for one in parts)
    assert all(one.body == BODY for one in recorder.requests)
    assert all(one.headers["host"] == "a" for one in recorder.requests)
    assert "t" not in (recorder.requests[-1].headers if recorder.requests else {})
    assert transport.written.count(b"200 OK") == len(recorder.requests)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(
        st.one_of(
            st.binary(max_size=40),
            st.sampled_from(
                [REQUEST, CHUNKED, HEAD, BODY, b"\r\n" * 300, b"x" * 900, b"0\r\n"]
            ),
        ),
        max_size=12,
    ),
    PLACES,
    st.booleans(),
)
@example([b"X: " + b"x" * 900, b"\r\n"], [], True)
def test_any_bytes_give_requests_a_refusal_or_a_close(parts, places, answers):
    """Guards against bytes that end the process or leave memory accounted."""
    recorder, transport = feed(cut(b"".join(parts), places), answers)
    complete = len(recorder.requests) if answers else 0
    responses = transport.written.count(b"HTTP/1.1 ")
    assert complete <= responses <= complete + 1


def test_pipelined_request_behind_an_open_one_arrives_whole():
    """Guards against a request that loses its target to the response before it."""

    async def scenario():
        recorder, transport = Recorder(answers=False), FakeTransport()
        connection = ServerConnection(recorder.server)
        connection.connection_made(transport)
        for piece in (REQUEST + REQUEST[:60], REQUEST[60:]):
            recorder.server.buffer[: len(piece)] = piece
            connection.buffer_updated(len(piece))
            recorder.server.answer(len(recorder.requests), HttpResponse(200))
            await asyncio.sleep(0)
        assert [one.target for one in recorder.requests] == ["/a", "/a"]

    asyncio.run(scenario())


def test_refusal_does_not_take_the_place_of_an_open_answer():
    """Guards against a refusal that a client takes for the answer to another request.

    The answer of the first request is sent, and the connection closed behind it.
    """

    async def scenario():
        recorder, transport = Recorder(answers=False), FakeTransport()
        connection = ServerConnection(recorder.server)
        connection.connection_made(transport)
        data = REQUEST + HEAD + b"X: " + b"x" * 900 + b"\r\nY: 1\r\n"
        recorder.server.buffer[: len(data)] = data
        connection.buffer_updated(len(data))
        assert transport.written == b""
        recorder.server.answer(1, HttpResponse(200))
        assert transport.written.count(b"HTTP/1.1 ") == 1
        assert b"200 OK" in transport.written
        assert not transport.is_open

    asyncio.run(scenario())


def test_planned_stop_answers_the_pipelined_requests_that_have_arrived():
    """Guards against a stop that cuts off a request which was read whole."""

    async def scenario():
        recorder, transport = Recorder(answers=False), FakeTransport()
        connection = ServerConnection(recorder.server)
        connection.connection_made(transport)
        data = REQUEST * 3
        recorder.server.buffer[: len(data)] = data
        connection.buffer_updated(len(data))
        recorder.server.stopping = True
        for number in range(1, 4):
            recorder.server.answer(number, HttpResponse(200))
            recorder.server.close_listener()
            await asyncio.sleep(0)
        assert transport.written.count(b"200 OK") == 3
        assert transport.written.count(b"Connection: close") == 1
        assert not transport.is_open

    asyncio.run(scenario())
