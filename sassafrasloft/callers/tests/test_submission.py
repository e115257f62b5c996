"""Tests of answers, resubmission under one id and validation of replies."""

import attrs
import pytest
from returns.result import Failure, Success

from sassafrasloft.callers import (
    CallerTransport,
    DispatcherClient,
    HttpReply,
    RequestRefused,
    ServiceUnreachable,
)
from sassafrasloft.callers.tests.fake_transport import (
    COMPLETE,
    CONNECTION_LOST,
    ID,
    JOB,
    OUTCOMES,
    RUNNING,
    UNREACHABLE,
    FakeTransport,
    make_submission,
    reply,
)
from sassafrasloft.jobs import Answer, Fate
from sassafrasloft.keyvalue.tests.loopback_server import LoopbackServer

PUT, GET, DELETE = (f"{method} /v1/jobs/{ID}" for method in ("PUT", "GET", "DELETE"))


def test_job_is_resubmitted_under_same_id_after_lost_connection():
    transport = FakeTransport(
        CONNECTION_LOST, UNREACHABLE, RUNNING, CONNECTION_LOST, COMPLETE
    )
    submission, _ = make_submission(transport)
    assert submission.submit(ID, JOB) == Success(COMPLETE)
    assert transport.sent == [PUT, PUT, PUT, GET, PUT]
    assert submission.is_uncertain


def test_waiting_ends_at_time_limit_with_last_answer():
    transport = FakeTransport(RUNNING, *[RUNNING] * 500)
    submission, clock = make_submission(transport, give_up_ms=9_000)
    assert submission.submit(ID, JOB) == Success(RUNNING)
    assert clock.now() <= 9_000
    assert len(transport.sent) < 20


def test_retry_after_of_overloaded_service_is_respected():
    busy = HttpReply(429, {"kind": "overloaded"}, retry_after_ms=4_000)
    submission, clock = make_submission(FakeTransport(busy, COMPLETE))
    assert submission.submit(ID, JOB) == Success(COMPLETE)
    assert clock.now() >= 4_000


def test_refused_request_is_not_retried():
    transport = FakeTransport(HttpReply(401, {"detail": "unknown token"}))
    submission, _ = make_submission(transport)
    assert isinstance(submission.new_id().failure(), RequestRefused)
    assert len(transport.sent) == 1


def test_submission_id_request_is_retried():
    ids = HttpReply(200, {"submission_ids": [ID]})
    submission, _ = make_submission(FakeTransport(HttpReply(503, None), ids))
    assert submission.new_id() == Success(ID)


def test_cancel_waits_for_final_answer():
    end = Answer(ID, Fate.MAY_HAVE_RUN, kind="cancelled")
    transport = FakeTransport(RUNNING, end)
    submission, _ = make_submission(transport)
    assert submission.cancel(ID) == Success(end)
    assert transport.sent == [DELETE, GET]


def test_cancel_is_repeated_until_owner_receives_it():
    """Guards against a job that continues because its cancellation got lost."""
    end = Answer(ID, Fate.MAY_HAVE_RUN, kind="owner_gone")
    transport = FakeTransport(UNREACHABLE, end)
    submission, _ = make_submission(transport)
    assert submission.cancel(ID) == Success(end)
    assert transport.sent == [DELETE, DELETE]


@pytest.mark.parametrize(
    "body",
    [
        attrs.evolve(COMPLETE, submission_id="another"),
        attrs.evolve(COMPLETE, outcomes=OUTCOMES[:1]),
        attrs.evolve(COMPLETE, outcomes=OUTCOMES[::-1]),
        attrs.evolve(
            COMPLETE,
            outcomes=(OUTCOMES[0], attrs.evolve(OUTCOMES[1], fate=Fate.NOT_RUN)),
        ),
        attrs.evolve(COMPLETE, fate=Fate.NOT_RUN),
        attrs.evolve(RUNNING, submission_id="another"),
        attrs.evolve(RUNNING, final=True),
    ],
)
def test_partial_answer_or_answer_for_another_job_is_rejected(body):
    client = DispatcherClient(FakeTransport(body))
    assert isinstance(client.submit(ID, JOB).failure(), ServiceUnreachable)


@pytest.mark.parametrize(
    "body", [None, [], 3, {}, {"fate": "done"}, {"fate": 1, "outcomes": "x"}]
)
def test_malformed_reply_is_reported_as_service_unreachable(body):
    for status in (200, 202, 500, 503):
        client = DispatcherClient(FakeTransport(*[HttpReply(status, body)] * 2))
        assert isinstance(client.ask(ID).failure(), ServiceUnreachable)
        assert isinstance(client.new_ids().failure(), ServiceUnreachable)


def test_client_switches_address_after_failure_and_stays_there():
    first, second = LoopbackServer(), LoopbackServer()
    try:
        first.answer(0, {})
        second.answer(200, reply(COMPLETE).body)
        transport = CallerTransport((first.address, second.address), "secret", 2_000)
        client = DispatcherClient(transport)
        assert isinstance(client.submit(ID, JOB, 10), Failure)
        assert client.submit(ID, JOB, 10) == Success(COMPLETE)
        assert client.ask(ID) == Success(COMPLETE)
        assert (len(first.requests), len(second.requests)) == (1, 2)
        assert second.requests[0][1] == f"/v1/jobs/{ID}?wait_ms=10"
        transport.close()
    finally:
        first.stop()
        second.stop()
