"""Limits how many runners are polled at once after a takeover.

Load pattern: a new scheduler polls all runners for their runs, on top of the load that
its predecessor had. Only a few polls are open at a time, and each reply releases the
next one, so that the rate adapts to the processor of this instance.
"""

from collections.abc import Iterator

from sassafrasloft.runs.runners import RunnerPool, RunnerView

MAX_OPEN_CONTACTS = 16
"""Initial polls without a reply. At 4 ms for each, 176 runners take under 50 ms."""
MIN_CONTACTS_PER_SWEEP = 8
"""Polls sent in each sweep regardless of open ones, so that unresponsive runners delay
no others: 60 of them cause a delay of less than 200 ms."""


class ContactQueue:
    """Runners that wait for their initial poll under the current fencing token."""

    def __init__(self) -> None:
        self._waiting: dict[str, None] = {}
        self._awaiting_reply: set[str] = set()

    def __contains__(self, runner_id: str) -> bool:
        """Return whether a runner still waits for its initial poll."""
        return runner_id in self._waiting

    def clear(self) -> None:
        """Remove all runners."""
        self._waiting.clear()
        self._awaiting_reply.clear()

    def add(self, runner_id: str) -> None:
        """Append a runner to the queue."""
        self._waiting[runner_id] = None
        self._awaiting_reply.discard(runner_id)

    def record_reply(self, runner_id: str) -> bool:
        """Record a reply; return whether it answers an initial poll."""
        if runner_id not in self._awaiting_reply:
            return False
        self._awaiting_reply.discard(runner_id)
        return True

    def pop_next(self, min_count: int, pool: RunnerPool) -> Iterator[RunnerView]:
        """Remove and yield the runners to poll next; skip those not in the pool.

        Parameters
        ----------
        min_count : int
            Number to remove even if `MAX_OPEN_CONTACTS` polls are open.
        pool : RunnerPool
        """
        count = max(min_count, MAX_OPEN_CONTACTS - len(self._awaiting_reply))
        for runner_id in list(self._waiting)[:count]:
            del self._waiting[runner_id]
            view = pool.runners.get(runner_id)
            if view is not None:
                self._awaiting_reply.add(runner_id)
                yield view
