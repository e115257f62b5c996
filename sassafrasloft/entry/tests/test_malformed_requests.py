"""Test of the callers' interface with 200 generated malformed requests."""

import json
from random import Random

import pytest

from sassafrasloft.entry.tests.test_callers_http import CallersEndpoint

SEED = 20_261_204
COUNT = 200
WRONG_VALUES = (None, True, -1, 1e99, "x" * 300, [], {}, [[]], {"a": 1}, 2**70)
TASK_FIELDS = ("name", "payload", "run_ms", "cores", "memory_mb", "accelerators")


def valid_job() -> dict:
    task = {"name": "a", "payload": "p", "run_ms": 100, "cores": 1}
    return {"team": "paint", "deadline_ms": 1_000, "tasks": [task]}


def wrong_field(random: Random) -> bytes:
    job = valid_job()
    place = job if random.random() < 0.4 else job["tasks"][0]
    names = ("deadline_ms", "tasks", "surplus") if place is job else TASK_FIELDS
    name = random.choice(names)
    place[name] = {"wrong": random.choice(WRONG_VALUES)}  # No field accepts an object.
    return json.dumps(job).encode()


def truncated(random: Random) -> bytes:
    text = json.dumps(valid_job()).encode()
    return text[: random.randrange(1, len(text) - 1)]


def random_bytes(random: Random) -> bytes:
    return random.randbytes(random.randrange(1, 200))


def not_an_object(random: Random) -> bytes:
    return json.dumps(random.choice([1, "job", [], [1], None, True, 0.5])).encode()


def oversized(random: Random) -> bytes:
    return b"[" + b" " * random.randrange(2_000, 4_000) + b"]"


KINDS = (wrong_field, truncated, random_bytes, not_an_object, oversized)


@pytest.fixture
def endpoint():
    one = CallersEndpoint()
    yield one
    one.listener.stop(grace_ms=500)


def test_each_malformed_request_gets_a_typed_error(endpoint):
    """Guards against an untyped error, a missing reply or a process that stops."""
    random = Random(SEED)
    for number in range(COUNT):
        make = KINDS[number % len(KINDS)]
        body = make(random)
        reply = endpoint.request("PUT", "/v1/jobs/id", body=body)
        values = reply.json()
        assert reply.status in (400, 413), (number, make.__name__, body, values)
        assert values["kind"] in ("malformed_input", "too_large")
        assert values["subject"] and values["detail"] and values["remedy"]
    assert endpoint.request("GET", "/health").status == 200
    assert endpoint.events.is_empty
