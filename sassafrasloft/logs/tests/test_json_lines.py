"""Tests of log records as JSON lines."""

import io
import json
import logging

import pytest

from sassafrasloft.clock import ManualClock
from sassafrasloft.logs import configure_logging, write_log


@pytest.fixture
def logs():
    root = logging.getLogger()
    before = list(root.handlers), root.level
    stream, clock = io.StringIO(), ManualClock()
    configure_logging("INFO", stream, clock, max_lines_per_second=2)
    yield stream, clock
    root.handlers[:], root.level = before


def parse_lines(stream: io.StringIO) -> list[dict]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_record_with_line_ends_and_reserved_field_name_is_one_line(logs):
    write_log("INFO", "runner\nejected %s", [("runner", "a\nb"), ("level", "x")])
    (line,) = parse_lines(logs[0])
    assert line["event"] == "runner\nejected %s"
    assert (line["runner"], line["level"], line["field_level"]) == ("a\nb", "INFO", "x")


def test_records_below_the_configured_level_are_not_written(logs):
    write_log("DEBUG", "quiet")
    write_log("no such level", "shown")
    assert [line["level"] for line in parse_lines(logs[0])] == ["ERROR"]


def test_line_rate_is_limited_and_dropped_lines_are_counted(logs):
    stream, clock = logs
    for _ in range(5):
        write_log("INFO", "flood", [("text", "x" * 9_000)])
    clock.advance(1_000)
    write_log("INFO", "after")
    found = parse_lines(stream)
    assert [line["event"] for line in found] == ["flood", "flood", "after"]
    assert found[-1]["dropped_lines"] == 3
    assert len(found[0]["text"]) < 2_100


def test_exception_is_written_on_the_line_of_its_record(logs):
    try:
        raise ValueError("broken")
    except ValueError:
        logging.getLogger("sassafrasloft").exception("failed")
    assert "ValueError: broken" in parse_lines(logs[0])[0]["exception"]
