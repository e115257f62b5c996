"""Log lines to a file descriptor that is never waited for."""

import contextlib
import json
import logging
import os
import time
from collections import deque
from collections.abc import Iterable

from sassafrasloft.clock import Clock, Milliseconds

MAX_BUFFERED_LINES = 2_000
"""While the reader does not read; about half a megabyte."""
LINES_PER_SECOND = 60
"""Lines about requests that went well and about beliefs; further ones of a second
are dropped and counted. 100 requests a second at the worst load would otherwise
take a hundredth of a core."""
FAILED_LINES_PER_SECOND = 400
"""Lines of failed requests and warnings."""
_SECOND_MS: Milliseconds = 1_000
# Kept, since json.dumps with options makes an encoder for each line.
_ENCODER = json.JSONEncoder(default=str)


class LogOutput:
    """Writes JSON lines without blocking; drops and counts what does not fit.

    Parameters
    ----------
    descriptor : int
        Made non-blocking.
    clock : Clock
        For the bounds on lines a second.
    common : dict
        Fields of each line.
    """

    def __init__(self, descriptor: int, clock: Clock, common: dict[str, str]) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._common = common
        self._buffer: deque[bytes] = deque()
        self._second = -1
        self._written = {False: 0, True: 0}
        self.dropped = 0
        self._unreported = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(
        self,
        level: str,
        event: str,
        fields: Iterable[tuple[str, object]] = (),
        important: bool = False,
    ) -> None:
        """Write a line; important ones have a larger bound."""
        if not self._admit(important or level != "INFO"):
            return
        line: dict[str, object] = {
            "time": round(time.time(), 3),
            "level": level,
            "event": event,
            **self._common,
        }
        line.update(fields)
        if self._unreported:
            line["dropped_lines"] = self._unreported
            self._unreported = 0
        self._buffer.append(_ENCODER.encode(line).encode() + b"\n")
        self.flush()

    def _admit(self, important: bool) -> bool:
        second = self._clock.now() // _SECOND_MS
        if second != self._second:
            self._second = second
            self._written = {False: 0, True: 0}
        bound = FAILED_LINES_PER_SECOND if important else LINES_PER_SECOND
        full = len(self._buffer) >= MAX_BUFFERED_LINES
        if full or self._written[important] >= bound:
            self.dropped += 1
            self._unreported += 1
            return False
        self._written[important] += 1
        return True

    def flush(self) -> None:
        """Write what the reader takes."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except OSError:
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


class LogOutputHandler(logging.Handler):
    """Sends records of `logging` to a `LogOutput`."""

    def __init__(self, output: LogOutput) -> None:
        super().__init__()
        self._output = output

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        fields: list[tuple[str, object]] = [("logger", record.name)]
        if record.exc_info:
            formatter = logging.Formatter()
            fields.append(("exception", formatter.formatException(record.exc_info)))
        self._output.write(record.levelname, record.getMessage(), fields)
