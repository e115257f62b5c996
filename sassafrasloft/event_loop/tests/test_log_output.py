"""Log lines that never block."""

import json
import os

from sassafrasloft.clock import ManualClock
from sassafrasloft.event_loop.log_output import (
    FAILED_LINES_PER_SECOND,
    LINES_PER_SECOND,
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


def test_lines_carry_the_common_fields():
    reader, writer = os.pipe()
    LogOutput(writer, ManualClock(), {"instance": "a"}).write(
        "INFO", "runner_gone", (("runner", "r-1"),)
    )
    (line,) = read_lines(reader)
    assert line["event"] == "runner_gone"
    assert line["instance"] == "a" and line["runner"] == "r-1"


def test_a_reader_that_stops_reading_does_not_block():
    """Guards against requests that wait for the reader of the log."""
    reader, writer = os.pipe()
    clock = ManualClock()
    log = LogOutput(writer, clock, {})
    for _ in range(40):
        clock.advance(1_000)
        for _ in range(FAILED_LINES_PER_SECOND):
            log.write("WARNING", "x", (("text", "y" * 200),))
    assert log.dropped > 0
    before = len(read_lines(reader))
    log.flush()
    assert before + len(read_lines(reader)) > 0


def test_common_lines_are_bounded_and_those_of_failed_requests_kept():
    reader, writer = os.pipe()
    clock = ManualClock()
    log = LogOutput(writer, clock, {})
    for _ in range(LINES_PER_SECOND + 10):
        log.write("INFO", "job_ended")
    log.write("INFO", "job_refused", important=True)
    lines = read_lines(reader)
    assert len(lines) == LINES_PER_SECOND + 1
    assert lines[-1]["event"] == "job_refused"
    assert lines[-1]["dropped_lines"] == 10
