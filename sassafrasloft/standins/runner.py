"""The logic of a stand-in runner, free of I/O.

It keeps the promises A1 to A3 of docs/design.md: a task starts at most once
and only on a free slot, a finished result is kept for a time, and a task or an
incarnation that was settled or fenced never starts afterwards.
"""

import heapq

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.jobs import (
    RefusalReason,
    ReportState,
    RunnerCapacity,
    TaskKey,
    TaskReport,
    TaskSpec,
)

MAX_STARTS = 1_000_000
"""Bound of the start log; above it a stand-in is busy until it is replaced."""


NO_LEASE_MS: Milliseconds = 3_600_000
"""The lease of a delivery that states none."""


@attrs.frozen
class RunnerLimits:
    """What a runner has, and for how long it keeps results."""

    slots: int = 8
    cores: int = 32
    memory_mb: int = 128_000
    accelerators: int = 0
    result_retention_ms: Milliseconds = 120_000
    waiting_places: int = 32


@attrs.define
class RunnerFaults:
    """The faults that a test or an operator switches on."""

    fail_all: bool = False
    slow_factor: float = 1.0
    leaving: bool = False


@attrs.frozen
class OfferedTask:
    """One task of a delivery; `authority` is the incarnation in its id."""

    key: TaskKey
    authority: str
    task: TaskSpec


@attrs.frozen
class Delivery:
    """A group of tasks from one instance for one incarnation of the runner."""

    delivery_id: str
    runner_incarnation: str
    sender_incarnation: str
    tasks: tuple[OfferedTask, ...]
    lease_ms: Milliseconds = NO_LEASE_MS


@attrs.define
class StartRecord:
    """One start of a task: the evidence that tests and the demo check."""

    key: TaskKey
    authority: str
    sender_incarnation: str
    runner_incarnation: str
    delivery_id: str
    started_ms: Milliseconds
    due_ms: Milliseconds
    report: TaskReport | None = None
    ended_ms: Milliseconds = 0
    forgotten: bool = False
    """Whether the result was dropped after its retention; the start is not."""


@attrs.frozen
class DeliveryResult:
    """What a delivery led to at once."""

    accepted: tuple[TaskKey, ...]
    """Started, or waiting for a slot: one report follows for each."""
    refused: tuple[TaskReport, ...]


@attrs.frozen
class WaitingTask:
    """An accepted task without a slot."""

    delivery: Delivery
    offered: OfferedTask
    expires_ms: Milliseconds


class RunnerLogic:
    """Slots, starts, results and promises of one runner.

    Parameters
    ----------
    name : str
        The runner's name in the settings.
    incarnation : str
        Names this life of the runner.
    limits : RunnerLimits
        Slots and sizes.
    """

    def __init__(self, name: str, incarnation: str, limits: RunnerLimits) -> None:
        self.name = name
        self.faults = RunnerFaults()
        self._limits = limits
        self._incarnation = incarnation
        self._log: list[StartRecord] = []
        self._first_kept = 0
        self._records: dict[TaskKey, StartRecord] = {}
        self._running: dict[TaskKey, StartRecord] = {}
        self._waiting: dict[TaskKey, WaitingTask] = {}
        self._due: list[tuple[Milliseconds, TaskKey]] = []
        self._settled: set[TaskKey] = set()
        self._fenced: set[str] = set()
        self.refusals: dict[str, int] = {}

    @property
    def starts(self) -> tuple[StartRecord, ...]:
        """Every start, over all incarnations, in order."""
        return tuple(self._log)

    @property
    def capacity(self) -> RunnerCapacity:
        """What each reply says about the runner."""
        return RunnerCapacity(
            runner_incarnation=self._incarnation,
            free_slots=max(0, self._limits.slots - len(self._running)),
            leaving=self.faults.leaving,
            waiting=len(self._waiting),
        )

    @property
    def next_due_ms(self) -> Milliseconds | None:
        """When the next running task ends; None if none is running."""
        return self._due[0][0] if self._due else None

    def deliver(self, delivery: Delivery, now: Milliseconds) -> DeliveryResult:
        """Start what can be started, let some tasks wait and refuse the rest."""
        accepted = []
        refused = []
        for offered in delivery.tasks:
            reason = self._refusal(delivery, offered)
            if reason is None:
                self._accept(delivery, offered, now)
                accepted.append(offered.key)
                continue
            self.refusals[reason.value] = self.refusals.get(reason.value, 0) + 1
            refused.append(
                TaskReport(offered.key, ReportState.REFUSED, reason=reason.value)
            )
        return DeliveryResult(tuple(accepted), tuple(refused))

    def starts_since(self, count: int) -> list[StartRecord]:
        """Return the starts after the first `count` ones."""
        return self._log[count:]

    def advance(self, now: Milliseconds) -> list[TaskReport]:
        """Return the reports of tasks that ended by now."""
        ended = []
        while self._due and self._due[0][0] <= now:
            _, key = heapq.heappop(self._due)
            if key in self._running:
                ended.append(self._end(key, now))
        ended.extend(self._start_waiting(now))
        self._forget(now)
        return ended

    def settle(
        self, runner_incarnation: str, keys: tuple[TaskKey, ...], now: Milliseconds
    ) -> list[TaskReport]:
        """Say what became of tasks; those that never started never will.

        Nothing is said about tasks of another incarnation of the runner.
        """
        if runner_incarnation != self._incarnation:
            return []
        return [self._settle_one(key) for key in keys]

    def stop(
        self, runner_incarnation: str, keys: tuple[TaskKey, ...], now: Milliseconds
    ) -> list[TaskReport]:
        """Settle tasks and end the running ones as failed."""
        if runner_incarnation == self._incarnation:
            for key in keys:
                if key in self._running:
                    self._end(key, now, stopped=True)
        return self.settle(runner_incarnation, keys, now)

    def drop_fenced(self) -> list[TaskReport]:
        """Refuse the waiting tasks of fenced incarnations."""
        dropped = [
            key
            for key, task in self._waiting.items()
            if self._fenced & {task.delivery.sender_incarnation, task.offered.authority}
        ]
        return [self._refuse_waiting(key, RefusalReason.FENCED) for key in dropped]

    def fence(self, authority: str) -> list[TaskReport]:
        """Refuse an incarnation from now on and list what it started here.

        `drop_fenced` then gives the reports on its waiting tasks.
        """
        self._fenced.add(authority)
        return [
            self._report(record)
            for record in self._records.values()
            if authority in (record.authority, record.sender_incarnation)
        ]

    def restart(self, incarnation: str) -> None:
        """Lose all tasks and results, as a crash does; the start log remains."""
        self._incarnation = incarnation
        self._records.clear()
        self._running.clear()
        self._waiting.clear()
        self._due.clear()
        self._settled.clear()
        self._fenced.clear()

    def _refusal(
        self, delivery: Delivery, offered: OfferedTask
    ) -> RefusalReason | None:
        task = offered.task
        if delivery.runner_incarnation != self._incarnation:
            return RefusalReason.WRONG_INCARNATION
        if self._fenced & {delivery.sender_incarnation, offered.authority}:
            return RefusalReason.FENCED
        if offered.key in self._settled:
            return RefusalReason.SETTLED
        if offered.key in self._records or offered.key in self._waiting:
            return RefusalReason.DUPLICATE
        if self.faults.leaving:
            return RefusalReason.LEAVING
        if (
            task.cores > self._limits.cores
            or task.memory_mb > self._limits.memory_mb
            or task.accelerators > self._limits.accelerators
        ):
            return RefusalReason.TOO_LARGE
        if len(self._log) >= MAX_STARTS:
            return RefusalReason.BUSY
        full = len(self._running) >= self._limits.slots
        if full and len(self._waiting) >= self._limits.waiting_places:
            return RefusalReason.BUSY
        return None

    def _accept(
        self, delivery: Delivery, offered: OfferedTask, now: Milliseconds
    ) -> None:
        if len(self._running) < self._limits.slots:
            self._start(delivery, offered, now)
            return
        expires_ms = now + delivery.lease_ms
        self._waiting[offered.key] = WaitingTask(delivery, offered, expires_ms)

    def _start_waiting(self, now: Milliseconds) -> list[TaskReport]:
        """Give free slots to waiting tasks in the order of their arrival."""
        expired = []
        while self._waiting and len(self._running) < self._limits.slots:
            key, task = next(iter(self._waiting.items()))
            if task.expires_ms <= now:
                expired.append(self._refuse_waiting(key, RefusalReason.EXPIRED))
                continue
            del self._waiting[key]
            self._start(task.delivery, task.offered, now)
        return expired

    def _refuse_waiting(self, key: TaskKey, reason: RefusalReason) -> TaskReport:
        del self._waiting[key]
        self.refusals[reason.value] = self.refusals.get(reason.value, 0) + 1
        return TaskReport(key, ReportState.REFUSED, reason=reason.value)

    def _start(
        self, delivery: Delivery, offered: OfferedTask, now: Milliseconds
    ) -> None:
        run_ms = true_run_ms(offered.task)
        if self.faults.fail_all:
            run_ms = 1
        due_ms = now + max(1, int(run_ms * self.faults.slow_factor))
        record = StartRecord(
            key=offered.key,
            authority=offered.authority,
            sender_incarnation=delivery.sender_incarnation,
            runner_incarnation=self._incarnation,
            delivery_id=delivery.delivery_id,
            started_ms=now,
            due_ms=due_ms,
            report=self._planned_report(offered),
        )
        self._log.append(record)
        self._records[offered.key] = record
        self._running[offered.key] = record
        heapq.heappush(self._due, (due_ms, offered.key))

    def _planned_report(self, offered: OfferedTask) -> TaskReport:
        if self.faults.fail_all:
            reason = "this worker fails every task"
            return TaskReport(offered.key, ReportState.FAILED, reason=reason)
        if "fail" in offered.task.payload.split():
            reason = "the payload asks for a failure"
            return TaskReport(offered.key, ReportState.FAILED, reason=reason)
        result = expected_result(offered.task)
        return TaskReport(offered.key, ReportState.COMPLETE, result=result)

    def _end(
        self, key: TaskKey, now: Milliseconds, stopped: bool = False
    ) -> TaskReport:
        record = self._running.pop(key)
        record.ended_ms = now
        planned = record.report
        if stopped:
            planned = TaskReport(key, ReportState.FAILED, reason="stopped on request")
        record.report = attrs.evolve(planned, run_ms=now - record.started_ms)
        return record.report

    def _settle_one(self, key: TaskKey) -> TaskReport:
        record = self._records.get(key)
        if record is not None:
            return self._report(record)
        self._waiting.pop(key, None)
        self._settled.add(key)
        return TaskReport(key, ReportState.NEVER_STARTED)

    def _report(self, record: StartRecord) -> TaskReport:
        if record.key in self._running:
            return TaskReport(record.key, ReportState.RUNNING)
        if record.forgotten:
            reason = "the result was dropped after its retention"
            return TaskReport(record.key, ReportState.FAILED, reason=reason)
        return record.report

    def _forget(self, now: Milliseconds) -> None:
        """Drop results past their retention, oldest first."""
        limit = now - self._limits.result_retention_ms
        while self._first_kept < len(self._log):
            record = self._log[self._first_kept]
            running = record.key in self._running
            if running or record.ended_ms > limit:
                break
            record.forgotten = True
            self._first_kept += 1


def true_run_ms(task: TaskSpec) -> Milliseconds:
    """Return how long the stand-in runs a task.

    The word ``run_ms=<ms>`` in the payload states it, since declared run times
    are often far off; without it the declared time is taken.
    """
    for word in task.payload.split():
        name, _, value = word.partition("=")
        if name == "run_ms" and value.isdecimal():
            return int(value)
    return task.run_ms


def expected_result(task: TaskSpec) -> str:
    """Return the result of a task that completes on a stand-in runner."""
    return f"done {task.name}"
