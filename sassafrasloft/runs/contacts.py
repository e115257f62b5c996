"""Which runners are contacted next after a takeover.

Load pattern: all runners have to be asked what they run, on top of the load that the
last scheduler had. A few are asked at once; each answer lets the next one be asked, so
that the pace is that of this instance's processor.
"""

from collections.abc import Iterator

from sassafrasloft.runs.runners import RunnerPool, RunnerView

AT_ONCE = 16
"""Contacts without an answer: with 4 ms for each, 176 runners take under 50 ms."""
IN_EACH_SWEEP = 8
"""New ones without waiting, so that runners that do not answer hold up no others: 60
silent ones for less than 200 ms."""


class ContactQueue:
    """Runners that wait for their first contact under a fencing token."""

    def __init__(self) -> None:
        self._waiting: dict[str, None] = {}
        self._asked: set[str] = set()

    def __contains__(self, runner_id: str) -> bool:
        """Return whether a runner has still to be asked."""
        return runner_id in self._waiting

    def clear(self) -> None:
        """Forget all."""
        self._waiting.clear()
        self._asked.clear()

    def add(self, runner_id: str) -> None:
        """Let a runner wait for its contact."""
        self._waiting[runner_id] = None
        self._asked.discard(runner_id)

    def note_answer(self, runner_id: str) -> bool:
        """Take an answer; return whether it was to a first contact."""
        if runner_id not in self._asked:
            return False
        self._asked.discard(runner_id)
        return True

    def take(self, least: int, pool: RunnerPool) -> Iterator[RunnerView]:
        """Return the runners to ask next; those that are gone are left out.

        Parameters
        ----------
        least : int
            How many to take even if as many as may be are without an answer.
        pool : RunnerPool
        """
        count = max(least, AT_ONCE - len(self._asked))
        for runner_id in list(self._waiting)[:count]:
            del self._waiting[runner_id]
            view = pool.runners.get(runner_id)
            if view is not None:
                self._asked.add(runner_id)
                yield view
