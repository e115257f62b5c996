"""Following an id through the log lines of several instances."""

import json

import pytest

from sassafrasloft.operators.log_lines import (
    beliefs_during,
    lines_about,
    read_line,
    read_lines,
    render,
    summary,
)

JOB = "5c0e7a21d94b36f8"


def line(time, instance, event, **fields):
    values = {"time": time, "level": "INFO", "event": event, "instance": instance}
    return "  12.3 edge-1 " + json.dumps(values | fields)


TEXTS = [
    line(10.5, "b", "request_answered", job=JOB, answer="refused", reason="no room"),
    "not a log line",
    line(10.4, "a", "job_placed", job=JOB, detail="x", ago_ms=300),
    line(10.3, "a", "runner_silent", runner="i-1"),
    line(99.0, "a", "runner_silent", runner="i-2"),
    line(10.4, "a", "job_ended", job="other"),
]


def test_lines_about_an_id_are_in_the_order_of_their_decisions():
    """Guards against lines that are sorted by when they were written."""
    found = lines_about(read_lines(TEXTS), JOB)
    assert [one.event for one in found] == ["job_placed", "request_answered"]
    assert found[0].time_s == pytest.approx(10.1)


def test_beliefs_of_the_time_are_shown_without_other_requests():
    beliefs = beliefs_during(read_lines(TEXTS), 10.0, 11.0)
    assert [dict(one.fields)["runner"] for one in beliefs] == ["i-1"]


def test_rendering_and_summary():
    lines = read_lines(TEXTS)
    assert "request_answered" in render(lines_about(lines, JOB))
    assert "answered refused no room" in summary(lines)
    assert render([]) == "no lines"


@pytest.mark.parametrize("text", ["", "{", "{}", '{"event": "x"}', "[1]", "{3}"])
def test_other_texts_are_passed_over(text):
    assert read_line(text) is None
