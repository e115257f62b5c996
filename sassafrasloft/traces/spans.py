"""Spans and the bounded file that they are written to."""

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
"""The event of log lines that are spans: those of instances without a disk."""


@attrs.frozen
class Span:
    """One finished step of a trace.

    Parameters
    ----------
    instance : str
        The process that recorded it. Times of one instance are comparable;
        between machines they are as good as the clocks.
    start_ms, end_ms : Milliseconds
        By the clock of the process, plus the writer's offset.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    start_ms: Milliseconds
    end_ms: Milliseconds
    instance: str = ""
    attributes: tuple[tuple[str, str], ...] = ()


def span_of(command: "RecordSpan", instance: str) -> Span:
    """Return the span that a command of the decision core describes."""
    values = attrs.asdict(command, recurse=False)
    return Span(instance=instance, **values)


class SpanWriter:
    """Appends spans to a file as JSON lines.

    When the file would exceed half of `max_bytes`, it is renamed to ``<path>.1``,
    which replaces the older half; both together stay within `max_bytes`. A
    failure to write drops the span and is counted: traces never stop a process.

    Parameters
    ----------
    path : str or Path
        The file.
    max_bytes : int
        Bound of both halves.
    offset_ms : Milliseconds
        Added to the times of spans, to turn a monotonic time into wall-clock
        time.
    """

    def __init__(
        self,
        path: str | Path,
        max_bytes: int = MAX_FILE_BYTES,
        offset_ms: Milliseconds = 0,
    ) -> None:
        self._path = Path(path)
        self._half_bytes = max_bytes // 2
        self._offset_ms = offset_ms
        self._lock = Lock()
        self._file = None
        self._size = 0
        self.dropped = 0

    def write(self, span: Span) -> bool:
        """Append one span and return whether it was written."""
        shifted = attrs.evolve(
            span,
            start_ms=span.start_ms + self._offset_ms,
            end_ms=span.end_ms + self._offset_ms,
        )
        line = json.dumps(_converter().unstructure(shifted)).encode() + b"\n"
        with self._lock:
            try:
                self._append(line)
            except OSError:
                self.dropped += 1
                return False
        return True

    def close(self) -> None:
        """Close the file; a later span opens it again."""
        with self._lock:
            if self._file is not None:
                self._file.close()
                self._file = None

    def _append(self, line: bytes) -> None:
        if self._file is None:
            self._file = open(self._path, "ab", buffering=0)  # noqa: SIM115
            self._size = self._file.tell()
        if self._size and self._size + len(line) > self._half_bytes:
            self._file.close()
            self._file = None
            os.replace(self._path, f"{self._path}.1")
            self._file = open(self._path, "ab", buffering=0)  # noqa: SIM115
            self._size = 0
        self._file.write(line)
        self._size += len(line)


def read_spans(path: str | Path) -> Result[list[Span], MalformedInput]:
    """Return the spans of a file; a line that is cut off at the end is skipped."""
    spans: list[Span] = []
    try:
        with open(path, encoding="utf-8") as file:
            for number, line in enumerate(file, 1):
                if len(spans) >= MAX_SPANS_READ:
                    break
                if not line.endswith("\n"):
                    break
                if _is_other_log_line(line):
                    continue
                span = _span_of_line(line)
                if span is None:
                    found = f"line {number} is not a span"
                    remedy = "Give a file that sassafrasloft wrote as its trace_file."
                    return Failure(MalformedInput(str(path), found, remedy))
                spans.append(span)
    except (OSError, UnicodeError) as error:
        found = f"the file cannot be read ({type(error).__name__})"
        return Failure(MalformedInput(str(path), found, "Check the path."))
    return Success(spans)


def _span_of_line(line: str) -> Span | None:
    from cattrs.errors import BaseValidationError

    try:
        values = json.loads(line)
        if values.get("event") == LOG_EVENT:
            values = _span_values(values)
        return _converter().structure(values, Span)
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
        return None
    except BaseValidationError:
        return None


def _is_other_log_line(line: str) -> bool:
    """Return whether a line is one of a log and no span."""
    try:
        values = json.loads(line)
    except (ValueError, RecursionError):
        return False
    return isinstance(values, dict) and values.get("event", LOG_EVENT) != LOG_EVENT


def _span_values(line: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a span that an instance wrote into its log."""
    end = round(line["time"] * 1_000)
    known = ("time", "level", "event", "instance", "dropped_lines")
    fields = ("trace", "span", "parent", "name", "duration_ms")
    return {
        "trace_id": line["trace"],
        "span_id": line["span"],
        "parent_id": line["parent"],
        "name": line["name"],
        "start_ms": end - line["duration_ms"],
        "end_ms": end,
        "instance": line["instance"],
        "attributes": [
            (name, str(value))
            for name, value in line.items()
            if name not in known and name not in fields
        ],
    }


@functools.cache
def _converter() -> "Converter":
    # Instances on a platform import this package, but read and write no span files.
    from cattrs import Converter

    return Converter()
