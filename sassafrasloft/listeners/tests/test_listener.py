"""Tests of the HTTP listener."""

from collections.abc import Iterator

import pytest
import urllib3

from sassafrasloft.listeners import (
    HttpListener,
    JsonApplication,
    JsonReply,
    JsonRequest,
    ListenerLimits,
    route,
)


class Sample(JsonApplication):
    """An application with ordinary, failing and streamed replies."""

    @route("GET", "/lines")
    def lines(self, _: JsonRequest) -> JsonReply:
        return JsonReply(lines=iter([b"1\n", b"2\n"]))

    @route("GET", "/broken")
    def broken(self, _: JsonRequest) -> JsonReply:
        def cut() -> Iterator[bytes]:
            yield b"1\n"
            raise ValueError("a fault of the application")

        return JsonReply(lines=cut())

    @route("GET", "/fault")
    def fault(self, _: JsonRequest) -> JsonReply:
        raise ValueError("a fault of the application")

    @route("GET", "/where/<part>/<rest:rest>")
    def where(self, request: JsonRequest) -> JsonReply:
        return JsonReply(body=[*request.parts.values(), request.connection])


@pytest.fixture
def listener() -> Iterator[HttpListener]:
    one = HttpListener("sample", {"127.0.0.1:0": Sample()}, ListenerLimits(threads=2))
    one.start()
    yield one
    one.stop()


@pytest.fixture
def pool(listener) -> urllib3.HTTPConnectionPool:
    host, _, port = listener.addresses[0].rpartition(":")
    return urllib3.HTTPConnectionPool(host, int(port), retries=False, timeout=5)


def test_a_connection_survives_a_streamed_reply(pool):
    """Guards against a new connection for each streamed reply."""
    for _ in range(3):
        assert pool.request("GET", "/lines").data == b"1\n2\n"
    assert pool.num_connections == 1


def test_a_failed_stream_is_reported_as_truncated(pool):
    """Guards against a truncated stream that ends like a complete one."""
    with pytest.raises(urllib3.exceptions.ProtocolError):
        pool.request("GET", "/broken")
    assert pool.request("GET", "/fault").status == 500
    assert pool.request("GET", "/lines").status == 200


def test_connections_are_closed_after_a_reply_once_leave_is_called(listener, pool):
    """Guards against clients that stay connected until the instance stops."""
    pool.request("GET", "/lines")
    listener.leave()
    for path in ("/lines", "/where/a/b"):
        assert pool.request("GET", path).headers["Connection"] == "close"


def test_path_placeholders_match_segments_and_remaining_paths(pool):
    """Guards against a key that is truncated at its first slash."""
    assert pool.request("GET", "/where/a/b/c%20d").json()[:2] == ["a", "b/c d"]
    assert pool.request("GET", "/where/a").status == 404
