"""Spans and the files of limited size in which they are stored."""

import functools
import json
import os
from pathlib import Path
from threading import Lock
from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Failure, Result, Success

from sassafrasloft.clock import Milliseconds
from sassafrasloft.errors import MalformedInput

if TYPE_CHECKING:
    from cattrs import Converter

    from sassafrasloft.core import RecordSpan

MAX_FILE_BYTES = 32_000_000
MAX_SPANS_READ = 200_000
LOG_EVENT = "span"
"""The event name of log lines with spans, which instances without a disk write."""


@attrs.frozen
class Span:
    """One finished operation of a trace.

    Parameters
    ----------
    instance : str
        The process that recorded the span. Times of one instance are comparable;
        between machines they are only as accurate as their clocks.
    start_ms, end_ms : Milliseconds
        Times on the clock of the process, plus the offset of the writer.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    start_ms: Milliseconds
    end_ms: Milliseconds
    instance: str = ""
    attributes: tuple[tuple[str, str], ...] = ()


def span_from_command(command: "RecordSpan", instance: str) -> Span:
    """Return the span of a `RecordSpan` command of the decision core."""
    values = attrs.asdict(command, recurse=False)
    return Span(instance=instance, **values)


class SpanWriter:
    """Appends spans to a file as JSON lines.

    Before the file exceeds half of `max_bytes`, it is rotated to ``<path>.1``, which
    replaces the older file; both files together stay within `max_bytes`. A span that
    cannot be written is dropped and counted, so that tracing never stops a process.

    Parameters
    ----------
    path : str or Path
        The path of the current file.
    max_bytes : int
        The limit on the total size of both files.
    offset_ms : Milliseconds
        Added to the times of spans to convert monotonic time into wall-clock time.
    """

    def __init__(
        self,
        path: str | Path,
        max_bytes: int = MAX_FILE_BYTES,
        offset_ms: Milliseconds = 0,
    ) -> None:
        self._path = Path(path)
        self._max_file_bytes = max_bytes // 2
        self._offset_ms = offset_ms
        self._lock = Lock()
        self._file = None
        self._size = 0
        self.dropped = 0

    def write(self, span: Span) -> bool:
        """Append one span and return whether it has been written."""
        wall_clock_span = attrs.evolve(
            span,
            start_ms=span.start_ms + self._offset_ms,
            end_ms=span.end_ms + self._offset_ms,
        )
        line = json.dumps(_converter().unstructure(wall_clock_span)).encode() + b"\n"
        with self._lock:
            try:
                self._append(line)
            except OSError:
                self.dropped += 1
                return False
        return True

    def close(self) -> None:
        """Close the file; writing a later span opens it again."""
        with self._lock:
            if self._file is not None:
                self._file.close()
                self._file = None

    def _append(self, line: bytes) -> None:
        if self._file is None:
            self._file = open(self._path, "ab", buffering=0)  # noqa: SIM115
            self._size = self._file.tell()
        if self._size and self._size + len(line) > self._max_file_bytes:
            self._file.close()
            self._file = None
            os.replace(self._path, f"{self._path}.1")
            self._file = open(self._path, "ab", buffering=0)  # noqa: SIM115
            self._size = 0
        self._file.write(line)
        self._size += len(line)


def read_spans(path: str | Path) -> Result[list[Span], MalformedInput]:
    """Return the spans of a file; an incomplete last line is skipped."""
    spans: list[Span] = []
    try:
        with open(path, encoding="utf-8") as file:
            for number, line in enumerate(file, 1):
                if len(spans) >= MAX_SPANS_READ:
                    break
                if not line.endswith("\n"):
                    break
                if _is_log_line_without_span(line):
                    continue
                span = _parse_span_line(line)
                if span is None:
                    found = f"line {number} is not a span"
                    remedy = "Give a file that sassafrasloft wrote as its trace_file."
                    return Failure(MalformedInput(str(path), found, remedy))
                spans.append(span)
    except (OSError, UnicodeError) as error:
        found = f"the file cannot be read ({type(error).__name__})"
        return Failure(MalformedInput(str(path), found, "Check the path."))
    return Success(spans)


def _parse_span_line(line: str) -> Span | None:
    from cattrs.errors import BaseValidationError

    try:
        values = json.loads(line)
        if values.get("event") == LOG_EVENT:
            values = _span_fields_from_log(values)
        return _converter().structure(values, Span)
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
        return None
    except BaseValidationError:
        return None


def _is_log_line_without_span(line: str) -> bool:
    """Return whether a line is a log line that does not contain a span."""
    try:
        values = json.loads(line)
    except (ValueError, RecursionError):
        return False
    return isinstance(values, dict) and values.get("event", LOG_EVENT) != LOG_EVENT


def _span_fields_from_log(line: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a span from a log line of an instance."""
    end_ms = round(line["time"] * 1_000)
    log_fields = ("time", "level", "event", "instance", "dropped_lines")
    span_fields = ("trace", "span", "parent", "name", "duration_ms")
    return {
        "trace_id": line["trace"],
        "span_id": line["span"],
        "parent_id": line["parent"],
        "name": line["name"],
        "start_ms": end_ms - line["duration_ms"],
        "end_ms": end_ms,
        "instance": line["instance"],
        "attributes": [
            (name, str(value))
            for name, value in line.items()
            if name not in log_fields and name not in span_fields
        ],
    }


@functools.cache
def _converter() -> "Converter":
    # Imported here because instances on a platform import this package, but neither
    # read nor write span files.
    from cattrs import Converter

    return Converter()
