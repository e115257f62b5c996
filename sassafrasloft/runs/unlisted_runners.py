"""Runners that the store does not list although a scheduler may use them.

Load pattern: runners do not reach the store for some seconds, so that their entries
expire, and the scheduler fails meanwhile. It went on using these runners, which the
next scheduler does not find in its list. All instances therefore remember them:

- An instance that does not schedule keeps the entries that disappear from its list.
- The scheduler reports the runners outside its list that may have runs.
- An entry is forgotten once it is listed again, or once the scheduler has read a list
  that is as new and does not report the runner.
"""

from collections.abc import Iterable

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs.runners import RunnerEntry, RunnerPool

MAX_REMEMBERED = 3_000
"""Limit of remembered entries, of half a kilobyte each; the oldest are dropped. There
are 2,600 runners at the size to design for."""


@attrs.define(eq=False)
class UnlistedRunnersReport:
    """What the scheduler reports to its followers."""

    entries: tuple[RunnerEntry, ...] = ()
    version: int = 0
    """Number of changes that followers have to know."""

    def update(self, entries: tuple[RunnerEntry, ...]) -> bool:
        """Replace the reported runners; return whether followers have to know.

        That some of them are no longer to be reported can wait, as it costs a next
        scheduler no more than a poll of these runners.
        """
        reported = {one.runner_id for one in self.entries}
        current = {one.runner_id for one in entries}
        if current and current <= reported or not current | reported:
            return False
        self.entries = entries
        self.version += 1
        return True

    def clear(self) -> None:
        """Remove all runners, as this instance no longer schedules."""
        self.entries = ()
        self.version += 1


@attrs.frozen
class _RememberedEntry:
    entry: RunnerEntry
    missing_at_revision: int
    """Revision of the store at which the entry was found to be missing."""


@attrs.define(eq=False)
class UnlistedRunners:
    """What an instance knows of runners outside its list."""

    report: UnlistedRunnersReport = attrs.field(factory=UnlistedRunnersReport)
    """What it reports; empty while it does not schedule."""
    _remembered: dict[str, _RememberedEntry] = attrs.field(factory=dict)
    _reported_ids: frozenset[str] = frozenset()
    """Runners in the last report of the current scheduler."""
    _keep_until: Milliseconds = 0
    """Until when reports of the current scheduler may lack what this instance knows."""

    @property
    def remembered(self) -> tuple[RunnerEntry, ...]:
        """The entries of runners that this instance learned of as a follower."""
        return tuple(one.entry for one in self._remembered.values())

    @property
    def known(self) -> dict[str, RunnerEntry]:
        """The entries of remembered and reported runners, by id."""
        return {one.runner_id: one for one in (*self.remembered, *self.report.entries)}

    def remember(self, entries: Iterable[RunnerEntry], revision: int) -> None:
        """Remember entries that are missing at a revision of the store."""
        for entry in entries:
            self._remembered.pop(entry.runner_id, None)
            self._remembered[entry.runner_id] = _RememberedEntry(entry, revision)
        while len(self._remembered) > MAX_REMEMBERED:
            del self._remembered[next(iter(self._remembered))]

    def discard(self, runner_ids: Iterable[str]) -> None:
        """Forget runners, as they are listed again or certainly gone."""
        for runner_id in runner_ids:
            self._remembered.pop(runner_id, None)

    def begin_following(self, keep_until: Milliseconds) -> None:
        """Forget nothing by reports of another scheduler until a time.

        It may fail before it has been told of all runners that this instance knows.
        """
        self._reported_ids = frozenset()
        self._keep_until = keep_until

    def apply_report(
        self,
        entries: tuple[RunnerEntry, ...] | None,
        list_revision: int,
        now: Milliseconds,
    ) -> None:
        """Apply a report of the scheduler.

        Parameters
        ----------
        entries : tuple of RunnerEntry or None
            Runners outside its list that may have runs; None if they are those of its
            last report.
        list_revision : int
            Revision of the store at which it read its list; 0 if the report does not
            show that other runners have no runs.
        now : Milliseconds
        """
        if entries is not None:
            self._reported_ids = frozenset(one.runner_id for one in entries)
            self.remember(entries, list_revision)
        if not list_revision or now < self._keep_until:
            return
        self.discard(
            [
                runner_id
                for runner_id, one in self._remembered.items()
                if one.missing_at_revision <= list_revision
                and runner_id not in self._reported_ids
            ]
        )


def runners_to_report(
    pool: RunnerPool, now: Milliseconds, lease_expiry_ms: Milliseconds
) -> tuple[RunnerEntry, ...]:
    """Return the runners outside the list that may have runs.

    No run is started on a runner whose entry is missing.

    Parameters
    ----------
    pool : RunnerPool
    now : Milliseconds
    lease_expiry_ms : Milliseconds
        See `RunnerPool.unseen_runners`.
    """
    unseen = pool.unseen_runners(now, lease_expiry_ms)
    return tuple(
        view.entry
        for view in pool.runners.values()
        if view.missing_since >= 0 and (view.runs or view.runner_id in unseen)
    )
