"""Requests that wait for the one reply of the decision core."""

import itertools
import threading
from collections.abc import Callable

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import IssuedIds, Status
from sassafrasloft.jobs import Answer

ReplyContent = Answer | IssuedIds | Status

ABANDON_CHECK_S = 1.0
"""How often a waiting request looks whether its caller is gone."""


class PendingReply:
    """One open request.

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
        """Hand over the reply."""
        self._content = content
        self._arrived.set()

    def wait(
        self, timeout_ms: Milliseconds, client_disconnected: Callable[[], bool]
    ) -> ReplyContent | None:
        """Return the reply, or None if the time is over or the caller is gone."""
        left_s = timeout_ms / 1000
        while left_s > 0 and not self._arrived.wait(min(left_s, ABANDON_CHECK_S)):
            left_s -= ABANDON_CHECK_S
            if client_disconnected():
                break
        return self._content


class ReplyTable:
    """All open requests by id."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._open: dict[str, PendingReply] = {}

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._open)

    def open(self) -> PendingReply:
        """Enter a new request."""
        pending = PendingReply(f"request-{next(self._numbers)}")
        self._open[pending.request_id] = pending
        return pending

    def close(self, pending: PendingReply) -> None:
        """Forget a request; a later reply to it is dropped."""
        self._open.pop(pending.request_id, None)

    def deliver(self, request_id: str, content: ReplyContent) -> None:
        """Hand a reply to its request, if that still waits."""
        pending = self._open.get(request_id)
        if pending is not None:
            pending.set(content)
