"""Tests of the output and exit codes of the program and of the job file parser."""

import io
import json

import pytest

from sassafrasloft.callers import HttpReply, parse_job
from sassafrasloft.callers.program import Streams, SubmitProgram, main
from sassafrasloft.callers.tests.fake_transport import (
    COMPLETE,
    CONNECTION_LOST,
    ID,
    JOB,
    RUNNING,
    FakeTransport,
    make_submission,
)
from sassafrasloft.jobs import Answer, Fate

TEXT = '{"team": "crews", "tasks": [{"name": "km-1"}, {"name": "km-2"}]}'
IDS = HttpReply(200, {"submission_ids": [ID]})
REFUSED = HttpReply(413, {"detail": "too large"})
NOT_RUN = Answer(ID, Fate.NOT_RUN, kind="overloaded", retry_after_ms=900)
MAY_HAVE_RUN = Answer(ID, Fate.MAY_HAVE_RUN, kind="owner_gone")


def run_submit(*replies: object, submission_id: str = "") -> tuple[int, Streams]:
    streams = Streams(io.StringIO(TEXT), io.StringIO(), io.StringIO())
    submission, _ = make_submission(FakeTransport(*replies))
    program = SubmitProgram(streams, submission)
    return program.submit("-", "", submission_id), streams


@pytest.mark.parametrize(
    ("replies", "code"),
    [
        ([IDS, COMPLETE], 0),
        ([IDS, NOT_RUN], 1),
        ([IDS, MAY_HAVE_RUN], 2),
        ([IDS, RUNNING, CONNECTION_LOST], 3),
        ([CONNECTION_LOST], 3),
        ([REFUSED], 1),
        ([IDS, REFUSED], 1),
        # An earlier request may have started the job, so "not run" is unproven.
        ([IDS, CONNECTION_LOST, REFUSED], 3),
        ([IDS, RUNNING, REFUSED], 3),
    ],
)
def test_exit_code_claims_only_what_is_proved(replies, code):
    assert run_submit(*replies)[0] == code


OWNER_GONE = Answer(ID, Fate.NOT_RUN, kind="owner_gone")


@pytest.mark.parametrize(
    ("replies", "code", "lines"),
    [
        ([IDS, OWNER_GONE, IDS, COMPLETE], 0, 4),
        ([IDS, OWNER_GONE, IDS, MAY_HAVE_RUN], 2, 4),
        ([IDS, OWNER_GONE] * 3, 1, 6),
        ([IDS, NOT_RUN], 1, 2),
        ([IDS, MAY_HAVE_RUN], 2, 2),
    ],
)
def test_job_that_did_not_run_is_resubmitted_after_instance_failure(
    replies, code, lines
):
    """Guards against failures that a retry resolves, and against duplicate runs."""
    exit_code, streams = run_submit(*replies)
    assert (exit_code, len(streams.output.getvalue().splitlines())) == (code, lines)


def test_refusal_of_earlier_id_does_not_prove_job_did_not_run():
    code, streams = run_submit(REFUSED, submission_id=ID)
    assert code == 3
    assert ID in streams.errors.getvalue()


def test_submission_id_is_printed_before_answer_or_failure():
    _, streams = run_submit(IDS, COMPLETE)
    first, last = map(json.loads, streams.output.getvalue().splitlines())
    assert first == {"submission_id": ID}
    assert [outcome["name"] for outcome in last["outcomes"]] == ["km-1", "km-2"]
    _, streams = run_submit(IDS, CONNECTION_LOST)
    assert json.loads(streams.output.getvalue()) == {"submission_id": ID}


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["submit"],
        ["--address=127.0.0.1:1", "send", "x"],
        ["--address=localhost:1", "ask", ID],
        ["--address=", "ask", ID],
        ["--no_such_flag", "ask", ID],
        ["--address=127.0.0.1:1", "--token_file=/nowhere", "ask", ID],
        ["--address=127.0.0.1:1", "--give_up_ms=soon", "ask", ID],
        ["--address=127.0.0.1:1", "submit", "/nowhere"],
    ],
)
def test_usage_errors_exit_with_64_and_explain(arguments):
    streams = Streams(io.StringIO(), io.StringIO(), io.StringIO())
    assert main(["sassafrasloft-submit", *arguments], streams) == 64
    assert streams.errors.getvalue()


def test_help_names_commands_exit_codes_and_flags():
    streams = Streams(io.StringIO(), io.StringIO(), io.StringIO())
    assert main(["sassafrasloft-submit", "--help"], streams) == 0
    for word in ("cancel ID", "may have run", "--token_file", "--give_up_ms"):
        assert word in streams.output.getvalue()


def test_job_file_is_parsed_with_defaults():
    assert parse_job(TEXT).unwrap() == JOB
    assert (
        parse_job(TEXT.replace('"team": "crews", ', ""), team="crews").unwrap() == JOB
    )


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("", "line 1"),
        ("[" * 100_000, "line"),
        ("[]", "job"),
        ('{"team": "a", "tasks": []}', "tasks"),
        ('{"tasks": [{"name": "a"}]}', "team"),
        ('{"team": "a", "tasks": [{"name": "a"}], "deadline": 3}', "deadline"),
        ('{"team": "a", "tasks": [{"name": "a"}], "deadline_ms": 1e3}', "deadline_ms"),
        ('{"team": "a", "tasks": [{"name": "a"}, {"name": "a"}]}', "tasks[1].name"),
        ('{"team": "a", "tasks": [{}]}', "tasks[0].name"),
        ('{"team": "a", "tasks": [{"name": "a", "run_ms": 0}]}', "tasks[0].run_ms"),
        ('{"team": "a", "tasks": [{"name": "a", "cores": true}]}', "tasks[0].cores"),
        ('{"team": "a", "tasks": [{"name": "a", "payload": {}}]}', "tasks[0].payload"),
        ('{"team": "a", "tasks": [{"name": "a", "name": "b"}]}', "name"),
        ('{"team": "a", "tasks": ["a"]}', "tasks[0]"),
        ('{"team": "a", "tasks": [{"name": "a", "idempotent": 1}]}', "idempotent"),
    ],
)
def test_invalid_job_error_states_field_and_remedy(text, field):
    error = parse_job(text, "job.json").failure()[0]
    assert field in error.subject
    assert error.found
    assert error.remedy
