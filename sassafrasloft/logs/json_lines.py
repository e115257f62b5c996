"""Log records as JSON lines of limited size and rate."""

import json
import logging
import sys
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import TextIO

from sassafrasloft.clock import Clock, Milliseconds, SystemClock

LOGGER_NAME = "sassafrasloft"
MAX_FIELD_CHARACTERS = 2_000
MAX_LINES_PER_SECOND = 500
"""Further lines within a second are dropped; the next written line has their number."""
_SECOND_MS: Milliseconds = 1_000


class JsonLineFormatter(logging.Formatter):
    """Formats a record as one JSON object on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON line of a record, without a line end."""
        time = datetime.fromtimestamp(record.created, UTC)
        line: dict[str, object] = {
            "time": time.isoformat(timespec="milliseconds"),
            "level": record.levelname,
            "event": _truncate(record.getMessage()),
        }
        for name, value in getattr(record, "fields", ()):
            key = f"field_{name}" if name in line else name
            line[key] = _truncate(value)
        dropped = getattr(record, "dropped_lines", 0)
        if dropped:
            line["dropped_lines"] = dropped
        if record.exc_info:
            text = self.formatException(record.exc_info)
            line["exception"] = text[-MAX_FIELD_CHARACTERS:]
        return json.dumps(line, ensure_ascii=True)


def _truncate(value: object) -> str:
    text = str(value)
    if len(text) <= MAX_FIELD_CHARACTERS:
        return text
    return text[:MAX_FIELD_CHARACTERS] + "..."


class LineRateFilter(logging.Filter):
    """Drops and counts the lines above `max_lines` per second."""

    def __init__(self, max_lines: int, clock: Clock) -> None:
        super().__init__()
        self._max_lines = max_lines
        self._clock = clock
        self._current_second = -1
        self._line_count = 0
        self._unreported_drops = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is within the limit and is written."""
        second = self._clock.now() // _SECOND_MS
        if second != self._current_second:
            self._current_second = second
            self._line_count = 0
        if self._line_count >= self._max_lines:
            self._unreported_drops += 1
            return False
        self._line_count += 1
        record.dropped_lines = self._unreported_drops
        self._unreported_drops = 0
        return True


def configure_logging(
    level: str = "INFO",
    stream: TextIO | None = None,
    clock: Clock | None = None,
    max_lines_per_second: int = MAX_LINES_PER_SECOND,
) -> logging.Logger:
    """Send all log records of the process to a stream as JSON lines.

    Parameters
    ----------
    level : str
        ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
    stream : text stream, optional
        The stream of the lines; standard error by default.
    clock : Clock, optional
        Measures the seconds to which the rate limit applies.

    Returns
    -------
    logging.Logger
        The logger of sassafrasloft.

    Raises
    ------
    ValueError
        If the level is unknown. Levels in settings are validated earlier.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonLineFormatter())
    handler.addFilter(LineRateFilter(max_lines_per_second, clock or SystemClock()))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return logging.getLogger(LOGGER_NAME)


def write_log(
    level: str, event: str, fields: Iterable[tuple[str, object]] = ()
) -> None:
    """Log one event with the level and the fields of a `WriteLog` command."""
    level_number = logging.getLevelNamesMapping().get(level, logging.ERROR)
    logging.getLogger(LOGGER_NAME).log(
        level_number, "%s", event, extra={"fields": tuple(fields)}
    )
