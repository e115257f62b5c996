"""Tests of the platform client against a loopback HTTP server."""

import json

import pytest

from sassafrasloft.keyvalue import PlatformClient
from sassafrasloft.keyvalue.tests.loopback_server import LoopbackServer
from sassafrasloft.messages import (
    GrantLease,
    InstanceList,
    KeyValue,
    LeaseState,
    ListedInstance,
    ListInstances,
    ReadKey,
    RenewLease,
    Unavailable,
    WatchKey,
    WriteConflict,
    WriteKey,
    Written,
)

KEY = "sassafrasloft/mark host/settings"
PATH = "/v1/keys/sassafrasloft/mark%20host/settings"
VALUE = {"key": KEY, "value": "text", "revision": 7}


@pytest.fixture
def server():
    server = LoopbackServer()
    yield server
    server.stop()


@pytest.fixture
def client(server):
    client = PlatformClient(f"127.0.0.1:{server.server_port}", 2_000)
    yield client
    client.close()


@pytest.mark.parametrize(
    ("call", "request_line", "if_match", "sent", "status", "body", "reply"),
    [
        (ReadKey(KEY), f"GET {PATH}", None, None, 200, VALUE,
         KeyValue(KEY, "text", 7)),
        (ReadKey(KEY), f"GET {PATH}", None, None, 404,
         {"key": KEY, "value": "", "revision": 0, "more": 1}, KeyValue(KEY, "", 0)),
        (WatchKey(KEY, 6, 900), f"GET {PATH}?watch_after=6&wait_ms=900", None, None,
         200, VALUE, KeyValue(KEY, "text", 7)),
        (WriteKey(KEY, "v", 7), f"PUT {PATH}", '"7"', {"value": "v", "lease_id": ""},
         200, {"key": KEY, "revision": 8}, Written(KEY, 8)),
        (WriteKey(KEY, "v", 0, "l"), f"PUT {PATH}", '"0"',
         {"value": "v", "lease_id": "l"}, 412, {"key": KEY, "revision": 9},
         WriteConflict(KEY, 9)),
        (GrantLease("n-1", "ab", "north", 9), "POST /v1/leases", None,
         {"instance": "n-1", "incarnation": "ab", "zone": "north", "ttl_ms": 9},
         200, {"lease_id": "l", "held": True}, LeaseState("l", True)),
        (RenewLease("l/1", True), "PUT /v1/leases/l%2F1", None, {"leaving": True},
         404, {"lease_id": "l/1", "held": False}, LeaseState("l/1", False)),
        (ListInstances(), "GET /v1/instances", None, None, 200,
         {"entries": [{"name": "n-1", "role": "entry", "zone": "north",
                       "incarnation": "ab", "state": "live"}]},
         InstanceList((ListedInstance("n-1", "entry", "north", "ab", "live"),))),
    ],
)  # fmt: skip
def test_calls_and_replies_use_the_documented_format(
    server, client, call, request_line, if_match, sent, status, body, reply
):
    server.answer(status, body)
    assert client.call(call) == reply
    method, path, header, content = server.requests[0]
    assert f"{method} {path}" == request_line
    assert header == if_match
    assert (json.loads(content) if content else None) == sent


@pytest.mark.parametrize(
    ("status", "body"),
    [(200, b"not json"), (200, b""), (200, []), (200, {"key": KEY}),
     (200, b"[" * 9_999), (200, VALUE | {"revision": "7"}),
     (200, VALUE | {"value": 1}), (429, {}), (503, {"error": "outage"}),
     (302, {}), (412, VALUE), (200, b"x" * 8_000_001)],
)  # fmt: skip
def test_malformed_and_unexpected_responses_are_rejected(server, client, status, body):
    server.answer(status, body)
    assert isinstance(client.call(ReadKey(KEY)), Unavailable)


def test_a_write_without_a_response_is_not_retried(server, client):
    server.answer(200, {"key": KEY, "revision": 8})
    assert client.call(WriteKey(KEY, "v", 7)) == Written(KEY, 8)
    server.status = 0
    assert isinstance(client.call(WriteKey(KEY, "w", 8)), Unavailable)
    assert len(server.requests) == 2


def test_a_refused_connection_is_unavailable(server):
    client = PlatformClient(f"127.0.0.2:{server.server_port}", 200)
    assert isinstance(client.call(ListInstances()), Unavailable)
