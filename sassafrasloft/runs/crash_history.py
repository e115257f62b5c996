"""Which tasks were on runners that crashed, and where such tasks may start.

Load pattern: a few tasks crash each runner that starts them, and each crash ends the
other runs of that runner too. A runner is known to have crashed only when its next
process replies, seconds after its runs may have started elsewhere; a runner that is
merely cut off replies again as the same process.
"""

from enum import StrEnum

import attrs

from sassafrasloft.clock import Milliseconds

MAX_CRASHES = 3
"""Crashed runners under a task after which it is given up."""
MAX_CRASHES_IF_ALONE = 2
"""The same if on one of them the task had no other beside it."""
RETENTION_MS: Milliseconds = 60_000
"""How long crashes are remembered: longer than callers submit a job again."""
MAX_TASKS = 10_000
"""Limit of tasks, and of runners with lost runs; the oldest are forgotten."""


class StartRule(StrEnum):
    """Where a task may start, in view of the runners that were lost under it."""

    ANYWHERE = "anywhere"
    APART = "apart"
    """On a runner with few other runs, which it would take along."""
    ALONE = "alone"
    """On a runner without other runs, so that a crash shows that the task causes it."""
    WAIT = "wait"
    """Not before it is known what became of the runners that do not reply."""
    NOWHERE = "nowhere"
    """The task is given up."""


@attrs.frozen
class TaskCrashes:
    """How many runners have crashed under a task.

    Parameters
    ----------
    task : str
    crashes : int
    was_alone : bool
        Whether the task had no other beside it on one of these runners.
    """

    task: str
    crashes: int
    was_alone: bool


@attrs.define
class _LostRuns:
    """Tasks whose runs were lost on a runner that has not replied since."""

    lost_at: Milliseconds
    process_started_at_ms: Milliseconds
    tasks: set[str] = attrs.field(factory=set)


class CrashHistory:
    """Crashes by task, and lost runs on runners whose fate is unknown."""

    def __init__(self) -> None:
        self._crashes: dict[str, tuple[TaskCrashes, Milliseconds]] = {}
        """By task: the crashes under it, and when the last one was recorded."""
        self._lost: dict[str, _LostRuns] = {}
        """By runner."""
        self._job_ids: set[str] | None = None
        """Jobs of all recorded tasks; None if they have to be collected again."""

    def concerns(self, job_id: str) -> bool:
        """Return whether anything is recorded of a job's tasks.

        Load pattern: thousands of jobs wait, hardly any of which was on a runner that
        crashed.
        """
        if self._job_ids is None:
            tasks = set(self._crashes).union(
                *(one.tasks for one in self._lost.values())
            )
            self._job_ids = {task.partition(".")[0] for task in tasks}
        return job_id in self._job_ids

    @property
    def counts(self) -> tuple[TaskCrashes, ...]:
        """The crashes under all tasks that are remembered."""
        return tuple(one for one, _ in self._crashes.values())

    def record_loss(
        self,
        runner_id: str,
        process_started_at_ms: Milliseconds,
        task: str,
        now: Milliseconds,
    ) -> None:
        """Record that a run has ended since its runner does not reply."""
        lost = self._lost.setdefault(runner_id, _LostRuns(now, process_started_at_ms))
        lost.tasks.add(task)
        self._limit(self._lost)
        self._job_ids = None

    def has_restarted(
        self, runner_id: str, process_started_at_ms: Milliseconds
    ) -> bool:
        """Return whether a runner that replies is a newer process than the lost one."""
        lost = self._lost.get(runner_id)
        return lost is not None and (
            0 <= lost.process_started_at_ms < process_started_at_ms
        )

    def record_reply(self, runner_id: str) -> None:
        """Record that a runner replied as the same process: it has not crashed."""
        if self._lost.pop(runner_id, None) is not None:
            self._job_ids = None

    def record_crash(
        self, runner_id: str, tasks: set[str], now: Milliseconds
    ) -> tuple[TaskCrashes, ...]:
        """Record that a runner crashed under tasks, besides those lost before.

        Returns
        -------
        tuple of TaskCrashes
            The new counts of these tasks.
        """
        lost = self._lost.pop(runner_id, None)
        all_tasks = sorted(tasks | lost.tasks if lost else tasks)
        is_alone = len(all_tasks) == 1
        counts = tuple(
            TaskCrashes(
                task,
                self._known(task).crashes + 1,
                self._known(task).was_alone or is_alone,
            )
            for task in all_tasks
        )
        self.merge(counts, now)
        return counts

    def merge(self, counts: tuple[TaskCrashes, ...], now: Milliseconds) -> None:
        """Record crashes that this or another instance has counted."""
        for one in counts:
            known = self._known(one.task)
            merged = TaskCrashes(
                one.task,
                max(one.crashes, known.crashes),
                one.was_alone or known.was_alone,
            )
            self._crashes.pop(one.task, None)
            self._crashes[one.task] = (merged, now)
        self._limit(self._crashes)
        self._job_ids = None

    def rule_for(self, task: str) -> StartRule:
        """Return where a task may start."""
        known = self._known(task)
        limit = MAX_CRASHES_IF_ALONE if known.was_alone else MAX_CRASHES
        if known.crashes >= limit:
            return StartRule.NOWHERE
        lost = sum(task in one.tasks for one in self._lost.values())
        if lost and known.crashes + lost >= MAX_CRASHES:
            return StartRule.WAIT
        if known.crashes + lost >= MAX_CRASHES_IF_ALONE:
            return StartRule.ALONE
        return StartRule.APART if known.crashes + lost else StartRule.ANYWHERE

    def forget_expired(self, now: Milliseconds) -> None:
        """Forget what was recorded longer ago than the retention period."""
        oldest = now - RETENTION_MS
        for task, (_, at) in list(self._crashes.items()):
            if at < oldest:
                del self._crashes[task]
        for runner_id, lost in list(self._lost.items()):
            if lost.lost_at < oldest:
                del self._lost[runner_id]
        self._job_ids = None

    def _known(self, task: str) -> TaskCrashes:
        known = self._crashes.get(task)
        return known[0] if known else TaskCrashes(task, 0, False)

    @staticmethod
    def _limit(entries: dict) -> None:
        while len(entries) > MAX_TASKS:
            del entries[next(iter(entries))]
