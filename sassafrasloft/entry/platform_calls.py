"""Calls to the platform, which run in worker threads."""

import logging
from collections.abc import Callable
from typing import Protocol

from sassafrasloft.core import CallPlatform, Event, PlatformReplied
from sassafrasloft.entry.workers import WorkerPool
from sassafrasloft.messages import PlatformCall, PlatformReply, Unavailable

MAX_OPEN_CALLS = 4
"""Simultaneous calls: one long-running watch and a few short calls. Further calls
are queued."""

_LOGGER = logging.getLogger(__name__)


class Platform(Protocol):
    """Client of the platform, such as `sassafrasloft.keyvalue.PlatformClient`."""

    def call(self, call: PlatformCall) -> PlatformReply:
        """Make a call without retries; return `Unavailable` on any failure."""


class PlatformCallExecutor:
    """Executes `CallPlatform` commands; each one ends in a `PlatformReplied` event.

    Parameters
    ----------
    client : Platform
        Client that makes the calls.
    tell : callable
        Passes an event to the core.
    """

    def __init__(self, client: Platform, tell: Callable[[Event], None]) -> None:
        self._client = client
        self._tell = tell
        self._workers = WorkerPool("platform", MAX_OPEN_CALLS)

    def call(self, command: CallPlatform) -> None:
        """Make a call in a worker thread."""
        self._workers.submit(self._run, command)

    def stop(self) -> None:
        """Discard queued calls; open calls end at their timeout."""
        self._workers.stop()

    def _run(self, command: CallPlatform) -> None:
        try:
            reply = self._client.call(command.call)
        except Exception as error:
            # The core expects a reply to every call.
            _LOGGER.exception("a call to the platform failed")
            reply = Unavailable(type(error).__name__)
        self._tell(PlatformReplied(command.call_id, reply))
