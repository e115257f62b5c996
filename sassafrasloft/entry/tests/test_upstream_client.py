"""Tests of the client of the runners over loopback sockets."""

import threading
from collections.abc import Iterator

import attrs
import pytest

from sassafrasloft.core import (
    DeliveryFailed,
    Fence,
    FenceReported,
    Probe,
    ProbeReported,
    Settle,
    SettleReported,
    StopTasks,
    TaskReported,
)
from sassafrasloft.entry.tests.helpers import (
    WAIT_S,
    EventRecorder,
    ScriptedServer,
    delivery,
    unused_address,
)
from sassafrasloft.entry.upstream_client import UpstreamClient
from sassafrasloft.jobs import ReportState
from sassafrasloft.settings import UpstreamSettings
from sassafrasloft.standins import RunnerLimits
from sassafrasloft.standins.runner_program import RunnerFleet

SETTINGS = UpstreamSettings(connect_timeout_ms=300, settle_timeout_ms=300)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LINE = b'{"submission_id":"one.aa.1.0.ff","index":0,"state":"complete"}\n'


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


@pytest.fixture
def events() -> EventRecorder:
    return EventRecorder()


@pytest.fixture
def client(events) -> Iterator[UpstreamClient]:
    one = UpstreamClient(events, 2, lambda: SETTINGS)
    yield one
    one.stop()


@pytest.fixture
def fleet() -> Iterator[RunnerFleet]:
    one = RunnerFleet({"runner-1": "127.0.0.1:0"}, RunnerLimits())
    one.start()
    yield one
    one.stop()


def test_each_task_is_reported_once_with_the_capacity(client, events, fleet):
    """Guards against a report that is lost, duplicated or delayed."""
    address = fleet.addresses["runner-1"]
    incarnation = fleet.hosts["runner-1"].logic.capacity.runner_incarnation
    command = delivery(["run_ms=1", "run_ms=1 fail", "run_ms=60000"], incarnation)
    client.deliver(address, command, "aa")
    seen = [events.next() for _ in range(2)]
    assert {event.report.key.index for event in seen} == {0, 1}
    assert seen[-1].capacity.free_slots >= 5
    keys = tuple(one.key for one in command.assignments)
    client.query(address, StopTasks("runner-1", incarnation, keys))
    stopped = events.next(TaskReported)
    assert (stopped.report.key.index, stopped.report.reason) == (
        2,
        "stopped on request",
    )
    client.query(address, Probe("runner-1"))
    assert events.next(ProbeReported).capacity.free_slots == 8
    client.query(address, Fence("runner-1", "aa"))
    assert len(events.next(FenceReported).started) == 3


def test_a_refused_connection_proves_that_nothing_was_sent(client, events):
    """Guards against a task that is not placed again though it cannot have run."""
    client.deliver(unused_address(), delivery(["", ""], "r"), "aa")
    failed = events.next()
    assert isinstance(failed, DeliveryFailed)
    assert (failed.sent, len(failed.keys)) == (False, 2)


@pytest.mark.parametrize(
    "reply",
    [
        b"",
        HEAD + chunk(LINE)[:-9],
        HEAD + chunk(LINE),
        HEAD + chunk(LINE) + b"0\r\n\r\n",
        HEAD + chunk(LINE) + chunk(b"{}\n"),
        HEAD + chunk(LINE) + chunk(LINE[:-9]) + b"0\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_tasks_of_an_incomplete_reply_are_reported_as_sent(client, events, reply):
    """Guards against "not sent" after data was sent, and against a lost delivery."""
    server = ScriptedServer(lambda accepted: accepted.sendall(reply))
    client.deliver(server.address, delivery(["", ""], "r"), "aa")
    left = [0, 1]
    event = events.next()
    while isinstance(event, TaskReported):
        left.remove(event.report.key.index)
        event = events.next()
    assert event.sent
    assert [key.index for key in event.keys] == left
    server.close()


def test_an_abandoned_delivery_frees_its_thread_without_a_report(client, events):
    """Guards against an unresponsive connection that blocks a thread for its lease."""
    received, released = threading.Event(), threading.Event()

    def stay_silent(accepted):
        received.set()
        accepted.settimeout(WAIT_S)
        while accepted.recv(65_536):
            pass
        released.set()

    server = ScriptedServer(stay_silent)
    client.deliver(server.address, delivery([""], "r"), "aa")
    assert received.wait(WAIT_S)
    client.abandon("d-1")
    assert released.wait(WAIT_S)
    client.query(unused_address(), Probe("runner-1"))
    assert isinstance(events.next(), ProbeReported)
    server.close()


def test_a_query_without_a_valid_reply_is_reported_as_unreachable(client, events):
    """Guards against a query whose outcome is not reported to the core."""
    silent = ScriptedServer(lambda accepted: accepted.recv(1))
    keys = (delivery([""], "r").assignments[0].key,)
    client.query(silent.address, Settle("runner-1", "r", keys))
    assert events.next() == SettleReported("runner-1", keys, reachable=False)
    silent.close()
    broken = ScriptedServer(
        lambda accepted: accepted.sendall(b"HTTP/1.1 200 OK\r\n\r\n[1]")
    )
    client.query(broken.address, Fence("runner-1", "aa"))
    assert events.next() == FenceReported("runner-1", "aa", reachable=False)
    broken.close()


def test_a_settled_task_is_reported_as_never_started(client, events, fleet):
    """Guards against losing the proof that a task never started."""
    incarnation = fleet.hosts["runner-1"].logic.capacity.runner_incarnation
    command = delivery([""], incarnation)
    keys = (command.assignments[0].key,)
    address = fleet.addresses["runner-1"]
    client.query(address, Settle("runner-1", incarnation, keys))
    settled = events.next(SettleReported)
    assert settled.reports[0].state is ReportState.NEVER_STARTED
    client.deliver(address, attrs.evolve(command, delivery_id="d-2"), "aa")
    assert events.next(TaskReported).report.reason == "settled"
