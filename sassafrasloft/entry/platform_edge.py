"""The edge towards the platform: calls in threads of their own."""

import logging
from collections.abc import Callable
from typing import Protocol

from sassafrasloft.core import CallPlatform, Event, PlatformReplied
from sassafrasloft.entry.workers import WorkerPool
from sassafrasloft.messages import PlatformCall, PlatformReply, Unavailable

MAX_OPEN_CALLS = 4
"""One waiting watch and a few short calls; further ones wait in a queue."""

_LOGGER = logging.getLogger(__name__)


class Platform(Protocol):
    """What makes a call; `sassafrasloft.keyvalue.PlatformClient` is one."""

    def call(self, call: PlatformCall) -> PlatformReply:
        """Make a call once; `Unavailable` on any failure."""


class PlatformEdge:
    """Carries out `CallPlatform`; `PlatformReplied` always follows.

    Parameters
    ----------
    client : Platform
        Makes the calls.
    tell : callable
        Takes the events.
    """

    def __init__(self, client: Platform, tell: Callable[[Event], None]) -> None:
        self._client = client
        self._tell = tell
        self._threads = WorkerPool("platform", MAX_OPEN_CALLS)

    def call(self, command: CallPlatform) -> None:
        """Make a call in the background."""
        self._threads.submit(self._run, command)

    def stop(self) -> None:
        """Drop waiting calls; open ones end by their timeout."""
        self._threads.stop()

    def _run(self, command: CallPlatform) -> None:
        try:
            reply = self._client.call(command.call)
        except Exception as error:
            # The core waits for a reply to every call.
            _LOGGER.exception("a call to the platform failed")
            reply = Unavailable(type(error).__name__)
        self._tell(PlatformReplied(command.call_id, reply))
