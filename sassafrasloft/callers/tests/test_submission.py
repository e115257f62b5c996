"""Answers, resubmission under one id, and what is never concluded."""

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
    ID,
    JOB,
    LOST,
    OUTCOMES,
    RUNNING,
    UNREACHABLE,
    FakeTransport,
    reply,
    submission_over,
)
from sassafrasloft.jobs import Answer, Fate
from sassafrasloft.keyvalue.tests.loopback_server import LoopbackServer

PUT, GET, DELETE = (f"{method} /v1/jobs/{ID}" for method in ("PUT", "GET", "DELETE"))


def test_a_lost_connection_is_followed_by_the_same_job_under_the_same_id():
    transport = FakeTransport(LOST, UNREACHABLE, RUNNING, LOST, COMPLETE)
    submission, _ = submission_over(transport)
    assert submission.submit(ID, JOB) == Success(COMPLETE)
    assert transport.sent == [PUT, PUT, PUT, GET, PUT]
    assert submission.is_uncertain


def test_waiting_ends_at_its_bound_with_the_last_answer():
    transport = FakeTransport(RUNNING, *[RUNNING] * 500)
    submission, clock = submission_over(transport, give_up_ms=9_000)
    assert submission.submit(ID, JOB) == Success(RUNNING)
    assert clock.now() <= 9_000
    assert len(transport.sent) < 20


def test_retry_after_of_an_overloaded_service_is_kept():
    busy = HttpReply(429, {"kind": "overloaded"}, retry_after_ms=4_000)
    submission, clock = submission_over(FakeTransport(busy, COMPLETE))
    assert submission.submit(ID, JOB) == Success(COMPLETE)
    assert clock.now() >= 4_000


def test_a_refused_request_is_not_repeated():
    transport = FakeTransport(HttpReply(401, {"detail": "unknown token"}))
    submission, _ = submission_over(transport)
    assert isinstance(submission.new_id().failure(), RequestRefused)
    assert len(transport.sent) == 1


def test_ids_come_from_the_service():
    ids = HttpReply(200, {"submission_ids": [ID]})
    submission, _ = submission_over(FakeTransport(HttpReply(503, None), ids))
    assert submission.new_id() == Success(ID)


def test_cancel_waits_for_the_end():
    end = Answer(ID, Fate.MAY_HAVE_RUN, kind="cancelled")
    transport = FakeTransport(RUNNING, end)
    submission, _ = submission_over(transport)
    assert submission.cancel(ID) == Success(end)
    assert transport.sent == [DELETE, GET]


def test_cancel_is_repeated_until_an_owner_has_heard_it():
    """Guards against a job that runs on because nobody took its cancellation."""
    end = Answer(ID, Fate.MAY_HAVE_RUN, kind="owner_gone")
    transport = FakeTransport(UNREACHABLE, end)
    submission, _ = submission_over(transport)
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
def test_an_answer_that_is_partial_or_of_another_job_is_not_taken(body):
    client = DispatcherClient(FakeTransport(body))
    assert isinstance(client.submit(ID, JOB).failure(), ServiceUnreachable)


@pytest.mark.parametrize(
    "body", [None, [], 3, {}, {"fate": "done"}, {"fate": 1, "outcomes": "x"}]
)
def test_a_reply_of_another_form_is_no_answer(body):
    for status in (200, 202, 500, 503):
        client = DispatcherClient(FakeTransport(*[HttpReply(status, body)] * 2))
        assert isinstance(client.ask(ID).failure(), ServiceUnreachable)
        assert isinstance(client.new_ids().failure(), ServiceUnreachable)


def test_the_next_address_is_used_after_a_loss_and_then_kept():
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
