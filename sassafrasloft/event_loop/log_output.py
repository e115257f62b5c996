"""Log output to a file descriptor that never blocks the process."""

import contextlib
import json
import logging
import os
import time
from collections import deque
from collections.abc import Iterable

from sassafrasloft.clock import Clock, Milliseconds

MAX_BUFFERED_LINES = 2_000
"""The number of lines kept while the reader does not read: about half a megabyte."""
MAX_INFO_LINES_PER_SECOND = 60
"""The limit for lines on successful requests and changes of state. Further lines within
a second are dropped and counted: at the highest load, lines for 100 requests per second
would take 1 % of a core."""
MAX_IMPORTANT_LINES_PER_SECOND = 400
"""The limit for lines on failed requests, warnings and errors."""
_SECOND_MS: Milliseconds = 1_000
# Shared because json.dumps with options creates an encoder for each line.
_ENCODER = json.JSONEncoder(default=str)


class LogOutput:
    """Writes JSON lines without blocking; drops and counts lines beyond its limits.

    Parameters
    ----------
    descriptor : int
        The file descriptor, which is set to non-blocking.
    clock : Clock
        Measures the seconds to which the limits apply.
    common_fields : dict
        Fields that are added to each line.
    """

    def __init__(
        self, descriptor: int, clock: Clock, common_fields: dict[str, str]
    ) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._common_fields = common_fields
        self._unwritten_lines: deque[bytes] = deque()
        self._current_second = -1
        self._admitted_lines = {False: 0, True: 0}
        self.dropped = 0
        self._unreported_drops = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(
        self,
        level: str,
        event: str,
        fields: Iterable[tuple[str, object]] = (),
        important: bool = False,
    ) -> None:
        """Write a line; important ones have a higher limit per second."""
        if not self._admit(important or level != "INFO"):
            return
        line: dict[str, object] = {
            "time": round(time.time(), 3),
            "level": level,
            "event": event,
            **self._common_fields,
        }
        line.update(fields)
        if self._unreported_drops:
            line["dropped_lines"] = self._unreported_drops
            self._unreported_drops = 0
        self._unwritten_lines.append(_ENCODER.encode(line).encode() + b"\n")
        self.flush()

    def _admit(self, important: bool) -> bool:
        second = self._clock.now() // _SECOND_MS
        if second != self._current_second:
            self._current_second = second
            self._admitted_lines = {False: 0, True: 0}
        max_lines = (
            MAX_IMPORTANT_LINES_PER_SECOND if important else MAX_INFO_LINES_PER_SECOND
        )
        is_full = len(self._unwritten_lines) >= MAX_BUFFERED_LINES
        if is_full or self._admitted_lines[important] >= max_lines:
            self.dropped += 1
            self._unreported_drops += 1
            return False
        self._admitted_lines[important] += 1
        return True

    def flush(self) -> None:
        """Write queued lines until the descriptor accepts no more."""
        while self._unwritten_lines:
            line = self._unwritten_lines[0]
            try:
                written = os.write(self._descriptor, line)
            except OSError:
                return
            if written < len(line):
                self._unwritten_lines[0] = line[written:]
                return
            self._unwritten_lines.popleft()


class LogOutputHandler(logging.Handler):
    """A `logging` handler that writes records to a `LogOutput`."""

    def __init__(self, output: LogOutput) -> None:
        super().__init__()
        self._output = output

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, with its traceback if it has one."""
        fields: list[tuple[str, object]] = [("logger", record.name)]
        if record.exc_info:
            formatter = logging.Formatter()
            fields.append(("exception", formatter.formatException(record.exc_info)))
        self._output.write(record.levelname, record.getMessage(), fields)
