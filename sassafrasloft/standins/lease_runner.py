"""A stand-in of a runner that runs tasks under leases and fencing tokens; no I/O."""

from collections.abc import Callable

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs import (
    CommandOutcome,
    EndedRun,
    PollReply,
    PollRuns,
    RunEnd,
    RunnerCommand,
    RunnerEntry,
    RunnerReply,
    RunningRun,
    StartReply,
    StartRun,
    StopReply,
    StopRun,
)
from sassafrasloft.workload import Resources

STOP_MS = 50
"""How long a stop takes, in milliseconds."""
AWAY_FACTOR = 3.0
"""How many times as long a task takes away from its data; the users name 1.5 to 3."""


@attrs.define(eq=False)
class StandinRun:
    """A run on the stand-in.

    Parameters
    ----------
    ends_at : int
        When its work is done; it then ends as `end`.
    stops_at : int
        When a stop takes effect; -1 if none was ordered.
    halted_percent : float
        What is done of a run that makes no progress any more; -1 of any other.
    """

    task: str
    number: int
    demand: Resources
    started_at: Milliseconds
    ends_at: float
    end: RunEnd
    stops_at: Milliseconds = -1
    halted_percent: float = -1.0


@attrs.frozen
class StandinTask:
    """What the stand-in is told of a task: its room, duration and end.

    Parameters
    ----------
    rack : str
        Where its data is; empty for none. It takes longer elsewhere.
    """

    demand: Resources
    duration_ms: float
    end: RunEnd = RunEnd.DONE
    rack: str = ""


class LeaseRunnerStandin:
    """One incarnation of a runner; the caller hands in the time.

    Parameters
    ----------
    entry : RunnerEntry
    tasks : callable
        Returns what a task of that name needs.
    longest_lease_ms : int
    clock_offset : int
        Of the runner's clock.
    """

    def __init__(
        self,
        entry: RunnerEntry,
        tasks: Callable[[str], StandinTask],
        longest_lease_ms: Milliseconds = 1_000,
        clock_offset: Milliseconds = 5_000,
    ) -> None:
        self.entry = entry
        self._tasks = tasks
        self._longest = longest_lease_ms
        self._offset = clock_offset
        self.slowness = 1.0
        self.fails_all = False
        self.hangs = False
        self.guards_capacity = True
        self.starts_over_capacity: list[Milliseconds] = []
        """Times of the starts for which there was no capacity."""
        self.token = 0
        self.running: dict[str, StandinRun] = {}
        self._finished: list[EndedRun] = []
        self._last_end = 0
        self._lease_ends = 0
        self._highest: dict[str, int] = {}
        self.on_start: Callable[[StandinRun], None] | None = None
        self.on_end: Callable[[StandinRun, RunEnd], None] | None = None

    def clock(self, now: Milliseconds) -> Milliseconds:
        """Return the runner's own clock."""
        return now + self._offset

    def take(self, order: RunnerCommand, now: Milliseconds) -> RunnerReply:
        """Carry out an order."""
        self.advance(now)
        clock = self.clock(now)
        if order.fencing_token < self.token:
            kind = {StartRun: StartReply, StopRun: StopReply}.get(
                type(order), PollReply
            )
            return kind(CommandOutcome.FENCED, clock)
        self.token = order.fencing_token
        if isinstance(order, StartRun):
            return StartReply(self._start(order, now), clock)
        if isinstance(order, StopRun):
            self._stop(order, now)
            return StopReply(CommandOutcome.DONE, clock)
        return self._hold(order, now)

    def has_unseen_ends(self, order: PollRuns) -> bool:
        """Return whether a hold need not wait any longer."""
        return any(one.end_number > order.seen_end for one in self._finished)

    def list_end(self, task: str, number: int, end: RunEnd) -> None:
        """List the end of a run until it is acknowledged."""
        self._last_end += 1
        self._finished.append(EndedRun(self._last_end, task, number, end))

    def next_change(self) -> float:
        """Return when the state changes next without an order."""
        times = [self._lease_ends - self._offset]
        for run in self.running.values():
            times.append(run.ends_at)
            if run.stops_at >= 0:
                times.append(run.stops_at)
        return min(times) if self.running else float("inf")

    def advance(self, now: Milliseconds) -> None:
        """End the runs whose time has come."""
        lease_ends = self._lease_ends - self._offset
        for run in list(self.running.values()):
            stop = run.stops_at if run.stops_at >= 0 else float("inf")
            ends = min(run.ends_at, lease_ends, stop)
            if ends > now:
                continue
            if ends == run.ends_at:
                self._finish(run, run.end)
            elif ends == stop:
                self._finish(run, RunEnd.STOPPED)
            else:
                self._finish(run, RunEnd.LEASE_EXPIRED)

    def _prolong(self, lease_end_ms: Milliseconds, clock: Milliseconds) -> None:
        longest = clock + self._longest
        self._lease_ends = max(self._lease_ends, min(lease_end_ms, longest))

    def _start(self, order: StartRun, now: Milliseconds) -> CommandOutcome:
        clock = self.clock(now)
        known = self.running.get(order.task)
        if known is not None and known.number == order.number:
            self._prolong(order.lease_end_ms, clock)
            return CommandOutcome.DONE
        if order.number <= self._highest.get(order.task, 0):
            self._prolong(order.lease_end_ms, clock)
            return CommandOutcome.SUPERSEDED
        if order.lease_end_ms <= clock:
            return CommandOutcome.TOO_LATE
        task = self._tasks(order.task)
        self._prolong(order.lease_end_ms, clock)
        if known is not None:
            return CommandOutcome.SUPERSEDED
        if not task.demand.fits(self.free()):
            if self.guards_capacity:
                return CommandOutcome.NO_ROOM
            self.starts_over_capacity.append(now)
        self._highest[order.task] = order.number
        duration = float("inf") if self.hangs else self._duration(task)
        end = RunEnd.FAILED if self.fails_all else task.end
        run = StandinRun(
            order.task, order.number, task.demand, now, now + duration, end
        )
        self.running[order.task] = run
        if self.on_start:
            self.on_start(run)
        return CommandOutcome.DONE

    def _duration(self, task: StandinTask) -> float:
        away = task.rack and task.rack not in self.entry.labels
        return task.duration_ms * self.slowness * (AWAY_FACTOR if away else 1.0)

    def halt(self, run: StandinRun, now: Milliseconds) -> None:
        """Let a run make no progress any more."""
        run.halted_percent = _percent(run, now)
        run.ends_at = float("inf")

    def free(self) -> Resources:
        """Return the room that is left; runs that are being stopped still count."""
        room = self.entry.capacity
        for run in self.running.values():
            room = room.minus(run.demand)
        return room

    def _stop(self, order: StopRun, now: Milliseconds) -> None:
        highest = self._highest.get(order.task, 0)
        self._highest[order.task] = max(highest, order.number)
        run = self.running.get(order.task)
        if run is not None and run.number <= order.number and run.stops_at < 0:
            run.stops_at = now + STOP_MS

    def _hold(self, order: PollRuns, now: Milliseconds) -> PollReply:
        clock = self.clock(now)
        if order.lease_end_ms:
            self._prolong(order.lease_end_ms, clock)
        self._finished = [
            one for one in self._finished if one.end_number > order.seen_end
        ]
        running = tuple(
            RunningRun(run.task, run.number, _percent(run, now))
            for run in self.running.values()
        )
        return PollReply(
            CommandOutcome.DONE,
            clock,
            self.entry.started_at_ms,
            running,
            tuple(self._finished),
        )

    def _finish(self, run: StandinRun, end: RunEnd) -> None:
        del self.running[run.task]
        self.list_end(run.task, run.number, end)
        if self.on_end:
            self.on_end(run, end)


def _percent(run: StandinRun, now: Milliseconds) -> float:
    if run.halted_percent >= 0:
        return run.halted_percent
    duration = run.ends_at - run.started_at
    if duration == float("inf") or duration <= 0:
        return 0.0
    return round(100.0 * (now - run.started_at) / duration)
