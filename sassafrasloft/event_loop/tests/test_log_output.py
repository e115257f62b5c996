"""Tests of non-blocking log output."""

import json
import os

from sassafrasloft.clock import ManualClock
from sassafrasloft.event_loop.log_output import (
    MAX_IMPORTANT_LINES_PER_SECOND,
    MAX_INFO_LINES_PER_SECOND,
    LogOutput,
)


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            part = os.read(descriptor, 1 << 16)
        except BlockingIOError:
            break
        if not part:
            break
        data += part
    return [json.loads(line) for line in data.splitlines()]


def test_lines_contain_the_common_fields():
    reader, writer = os.pipe()
    LogOutput(writer, ManualClock(), {"instance": "a"}).write(
        "INFO", "runner_gone", (("runner", "r-1"),)
    )
    (line,) = read_lines(reader)
    assert line["event"] == "runner_gone"
    assert line["instance"] == "a" and line["runner"] == "r-1"


def test_writing_does_not_block_when_the_reader_stops():
    """Guards against requests that are delayed by a slow reader of the log."""
    reader, writer = os.pipe()
    clock = ManualClock()
    log = LogOutput(writer, clock, {})
    for _ in range(40):
        clock.advance(1_000)
        for _ in range(MAX_IMPORTANT_LINES_PER_SECOND):
            log.write("WARNING", "x", (("text", "y" * 200),))
    assert log.dropped > 0
    before = len(read_lines(reader))
    log.flush()
    assert before + len(read_lines(reader)) > 0


def test_info_lines_are_limited_and_important_lines_are_kept():
    reader, writer = os.pipe()
    clock = ManualClock()
    log = LogOutput(writer, clock, {})
    for _ in range(MAX_INFO_LINES_PER_SECOND + 10):
        log.write("INFO", "job_ended")
    log.write("INFO", "job_refused", important=True)
    lines = read_lines(reader)
    assert len(lines) == MAX_INFO_LINES_PER_SECOND + 1
    assert lines[-1]["event"] == "job_refused"
    assert lines[-1]["dropped_lines"] == 10
