"""Open requests, each of which waits for one reply of the decision core."""

import itertools
import threading
from collections.abc import Callable

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import IssuedIds, Status
from sassafrasloft.jobs import Answer

ReplyContent = Answer | IssuedIds | Status

ABANDON_CHECK_S = 1.0
"""Interval at which a waiting request checks whether its caller disconnected."""


class PendingReply:
    """An open request that waits for its reply.

    Parameters
    ----------
    request_id : str
        Unique within the process.
    """

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self._content: ReplyContent | None = None
        self._arrived = threading.Event()

    def set(self, content: ReplyContent) -> None:
        """Store the reply and wake the waiting thread."""
        self._content = content
        self._arrived.set()

    def wait(
        self, timeout_ms: Milliseconds, client_disconnected: Callable[[], bool]
    ) -> ReplyContent | None:
        """Return the reply, or None after the timeout or if the caller disconnects."""
        left_s = timeout_ms / 1000
        while left_s > 0 and not self._arrived.wait(min(left_s, ABANDON_CHECK_S)):
            left_s -= ABANDON_CHECK_S
            if client_disconnected():
                break
        return self._content


class ReplyTable:
    """The open requests by request id."""

    def __init__(self) -> None:
        self._next_number = itertools.count(1)
        self._open: dict[str, PendingReply] = {}

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._open)

    def open(self) -> PendingReply:
        """Create and register a new request."""
        pending = PendingReply(f"request-{next(self._next_number)}")
        self._open[pending.request_id] = pending
        return pending

    def close(self, pending: PendingReply) -> None:
        """Remove a request; a later reply to it is discarded."""
        self._open.pop(pending.request_id, None)

    def deliver(self, request_id: str, content: ReplyContent) -> None:
        """Pass a reply to its request if that is still open."""
        pending = self._open.get(request_id)
        if pending is not None:
            pending.set(content)
