"""Tests of spans, trace context and trees."""

from random import Random

import pytest
from returns.result import Failure, Success

from sassafrasloft.core import RecordSpan
from sassafrasloft.traces import (
    Span,
    SpanWriter,
    TraceParent,
    format_traceparent,
    parse_traceparent,
    read_spans,
    render_trace,
    span_from_command,
)

TRACE, SPAN = "a" * 32, "b" * 16


def span(span_id: str, parent_id: str, start_ms: int, end_ms: int, name="s") -> Span:
    command = RecordSpan(TRACE, span_id, parent_id, name, start_ms, end_ms)
    return span_from_command(command, "north-1")


def test_formatted_traceparent_is_parsed_unchanged():
    for sampled in (True, False):
        parent = TraceParent(TRACE, SPAN, sampled)
        assert parse_traceparent(format_traceparent(parent)) == Success(parent)
    future = f"01-{TRACE}-{SPAN}-03-more"
    assert parse_traceparent(future) == Success(TraceParent(TRACE, SPAN, True))


@pytest.mark.parametrize(
    "text",
    ["", "x", f"00-{TRACE}-{SPAN}-01-more", f"ff-{TRACE}-{SPAN}-01",
     f"00-{'0' * 32}-{SPAN}-01", f"00-{TRACE}-{'0' * 16}-01",
     f"00-{TRACE.upper()}-{SPAN}-01", "0" * 9_000],
)  # fmt: skip
def test_malformed_traceparent_is_a_typed_error(text):
    assert isinstance(parse_traceparent(text), Failure)


def test_span_files_stay_within_their_size_limit_and_keep_the_newest_spans(tmp_path):
    path = tmp_path / "spans"
    writer = SpanWriter(path, max_bytes=4_000, offset_ms=1_000)
    for number in range(100):
        assert writer.write(span(f"{number:016x}", "", number, number + 1))
    writer.close()
    older = tmp_path / "spans.1"
    assert path.stat().st_size + older.stat().st_size <= 4_000
    assert read_spans(path).unwrap()[-1].start_ms == 1_099


def test_write_failure_drops_the_span_and_is_counted(tmp_path):
    writer = SpanWriter(tmp_path / "none" / "spans")
    assert not writer.write(span("1", "", 0, 1))
    assert writer.dropped == 1


def test_files_without_valid_spans_are_typed_errors(tmp_path):
    path = tmp_path / "spans"
    for content in (b"{}\n", b"[1]\n", b"\xff\n", b"x\n", b'{"trace_id": 3}\n'):
        path.write_bytes(content)
        assert str(path) in str(read_spans(path).failure())
    path.write_bytes(b"cut off while it was writ")
    assert read_spans(path) == Success([])
    assert isinstance(read_spans(tmp_path / "absent"), Failure)


def test_tree_shows_children_below_parents_for_any_span_order():
    spans = [
        span("1", "outside", 100, 400, "job"),
        span("2", "1", 110, 390, "deliver"),
        span("3", "2", 120, 380, "run\x1b[2J"),
        span("4", "1", 105, 109, "queue"),
    ]
    Random(1).shuffle(spans)
    assert render_trace(spans).splitlines() == [
        f"trace {TRACE}",
        "       +0 ms     300 ms  job [north-1]",
        "       +5 ms       4 ms    queue [north-1]",
        "      +10 ms     280 ms    deliver [north-1]",
        "      +20 ms     260 ms      run?[2J [north-1]",
    ]
    assert render_trace(spans, "ffff") == "no spans\n"


def test_spans_in_a_parent_cycle_are_shown():
    loop = [span("1", "2", 0, 1, "one"), span("2", "1", 0, 1, "two")]
    assert {"one", "two"} <= set(render_trace(loop).split())
