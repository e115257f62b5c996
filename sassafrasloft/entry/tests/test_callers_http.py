"""Tests of the callers' HTTP interface over loopback sockets."""

import hashlib
import json
import socket
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest
import urllib3

from sassafrasloft.core import AnswerRequested, JobSubmitted, RequestAbandoned
from sassafrasloft.entry.callers_http import CallersApplication
from sassafrasloft.entry.health import Health
from sassafrasloft.entry.replies import ReplyTable
from sassafrasloft.entry.tests.helpers import WAIT_S, EventRecorder
from sassafrasloft.jobs import Answer, Fate, running_answer
from sassafrasloft.listeners import HttpListener, ListenerLimits
from sassafrasloft.settings import LimitSettings, ServiceSettings, TeamSettings

TEAM = TeamSettings("paint", hashlib.sha256(b"secret").hexdigest())
LIMITS = LimitSettings(caller_threads=4, max_body_bytes=2_000)
SETTINGS = ServiceSettings("s", "r", ("z",), (), (), (TEAM,), limits=LIMITS)
JOB = {"team": "paint", "tasks": [{"name": "a"}]}


class CallersEndpoint:
    """Listener for callers whose core is replaced by the test."""

    def __init__(self) -> None:
        self._threads = ThreadPoolExecutor(8)
        self.events = EventRecorder()
        self.replies = ReplyTable()
        application = CallersApplication(
            self.events, self.replies, Health("one"), lambda: SETTINGS
        )
        limits = ListenerLimits(LIMITS.caller_threads, LIMITS.max_body_bytes)
        self.listener = HttpListener("callers", {"127.0.0.1:0": application}, limits)
        self.listener.start()
        self.url = f"http://{self.listener.addresses[0]}"

    def request(self, method: str, path: str, token: str = "secret", **options):
        headers = {"Authorization": f"Bearer {token}"}
        # By default, urllib3 retries a request whose reply has Retry-After.
        options = {"retries": False, "timeout": WAIT_S, **options}
        return urllib3.request(method, self.url + path, headers=headers, **options)

    def in_background(self, method: str, path: str, **options) -> Future:
        """Send a request in a worker thread."""
        return self._threads.submit(self.request, method, path, **options)


@pytest.fixture
def endpoint() -> Iterator[CallersEndpoint]:
    one = CallersEndpoint()
    yield one
    one.listener.stop(grace_ms=500)


@pytest.mark.parametrize(
    ("body", "subject"),
    [
        (b"{", "body"),
        (b"\xff", "body"),
        (b"[" * 1_500, "body"),
        (b"[]", "job"),
        (b'{"tasks": []}', "tasks"),
        (b'{"tasks": [{"name": "a", "run_ms": "fast"}]}', "tasks[0].run_ms"),
        (b'{"tasks": [{"name": "a", "cores": true}]}', "tasks[0].cores"),
        (b'{"tasks": [{"name": "a"}, {"name": "a"}]}', "tasks[1].name"),
        (b'{"tasks": [{"name": "a", "colour": 1}]}', "tasks[0].colour"),
        (b'{"tasks": [{"name": "a"}], "deadline_ms": 0}', "deadline_ms"),
        (b'{"tasks": [{"name": "a", "payload": 1}]}', "tasks[0].payload"),
    ],
)
def test_the_error_for_a_malformed_job_names_the_invalid_field(endpoint, body, subject):
    """Guards against an untyped error and one that names no field."""
    reply = endpoint.request("PUT", "/v1/jobs/id", body=body)
    assert reply.status == 400
    assert reply.json()["subject"] == subject
    assert reply.json()["remedy"]
    assert endpoint.request("GET", "/health").status == 200


def test_requests_outside_the_interface_get_typed_errors(endpoint):
    """Guards against an error without a kind, such as the default text of waitress."""
    cases = [
        (endpoint.request("GET", "/v1/jobs/id?wait_ms=-1"), 400, "malformed_input"),
        (endpoint.request("GET", "/v1/jobs/id", token="other"), 401, "unauthorized"),
        (
            endpoint.request("PUT", "/v1/jobs/id", json=JOB | {"team": "x"}),
            403,
            "forbidden",
        ),
        (endpoint.request("PUT", "/v1/jobs/id", body=b" " * 2_001), 413, "too_large"),
        (endpoint.request("POST", "/v1/jobs/id"), 405, "malformed_input"),
        (endpoint.request("GET", "/v2"), 404, "malformed_input"),
        (
            endpoint.request("POST", "/v1/submission-ids", json={"count": 0}),
            400,
            "malformed_input",
        ),
    ]
    for reply, status, kind in cases:
        assert (reply.status, reply.json()["kind"]) == (status, kind)


def test_bytes_that_are_not_http_get_a_typed_error(endpoint):
    """Guards against a listener that stops when a client sends other protocols."""
    host, _, port = endpoint.listener.addresses[0].rpartition(":")
    with socket.create_connection((host, int(port)), WAIT_S) as stream:
        stream.sendall(b"\x00nonsense\r\n\r\n")
        reply = b"".join(iter(lambda: stream.recv(65_536), b""))
    assert json.loads(reply.partition(b"\r\n\r\n")[2])["kind"] == "malformed_input"
    assert endpoint.request("GET", "/health").status == 200


@pytest.mark.parametrize(
    ("fate", "kind", "status"),
    [
        (Fate.COMPLETE, "", 200),
        (Fate.MAY_HAVE_RUN, "task_failed", 200),
        (Fate.RUNNING, "", 202),
        (Fate.NOT_RUN, "unknown_id", 404),
        (Fate.NOT_RUN, "id_conflict", 409),
        (Fate.NOT_RUN, "overloaded", 429),
        (Fate.RUNNING, "owner_unreachable", 503),
    ],
)
def test_each_answer_has_its_status(endpoint, fate, kind, status):
    """Guards against an error that the library of a caller treats as an answer."""
    found = endpoint.in_background("PUT", "/v1/jobs/id?wait_ms=99999", json=JOB)
    asked = endpoint.events.next(JobSubmitted)
    assert asked.wait_ms == LIMITS.max_wait_ms
    endpoint.replies.deliver(
        asked.request_id, Answer("id", fate, kind, retry_after_ms=1)
    )
    reply = found.result(WAIT_S)
    assert (reply.status, reply.json()["fate"]) == (status, fate.value)
    assert reply.headers["Retry-After"] == "1"


def test_no_long_wait_starts_when_nearly_all_threads_wait(endpoint):
    """Guards against waiting callers that block health checks and new jobs."""
    waiting = [
        endpoint.in_background("GET", f"/v1/jobs/{n}?wait_ms=9000") for n in range(3)
    ]
    opened = [endpoint.events.next(AnswerRequested) for _ in range(3)]
    assert {event.wait_ms for event in opened} == {9_000}
    cut = endpoint.in_background("GET", "/v1/jobs/cut?wait_ms=9000")
    event = endpoint.events.next(AnswerRequested)
    assert event.wait_ms == 0
    for one in [event, *opened]:
        endpoint.replies.deliver(one.request_id, running_answer("id", 100))
    assert [one.result(WAIT_S).status for one in [cut, *waiting]] == [202] * 4


def test_the_request_of_a_disconnected_caller_ends(endpoint):
    """Guards against requests of disconnected callers that fill the reply table."""
    host, _, port = endpoint.listener.addresses[0].rpartition(":")
    with socket.create_connection((host, int(port)), WAIT_S) as stream:
        stream.sendall(
            b"GET /v1/jobs/id?wait_ms=9000 HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer secret\r\n\r\n"
        )
        asked = endpoint.events.next(AnswerRequested)
    abandoned = endpoint.events.next(RequestAbandoned)
    assert abandoned.request_id == asked.request_id
    assert asked.team == "paint"
