"""Ordering policies, which choose the next task to place, and their registry.

Every order keeps one heap of jobs for each team that has waiting tasks. An
entry whose key is out of date is discarded when it reaches the top of the heap,
so that no step iterates over all jobs.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from heapq import heappop, heappush
from typing import TypeVar

import attrs

from sassafrasloft.core import Blackboard
from sassafrasloft.dispatch.quotas import TeamIndex, quota_left, team_use
from sassafrasloft.state import TeamUse, WaitingJob

AGEING_RATE = 0.25
"""A job that waits is preferred like one with this much less work a
millisecond; the largest job (340 tasks of 200 ms on 24 slots, 2.8 s) is
overtaken by jobs that arrive up to 11 s later."""


@attrs.frozen(eq=False)
class HeapEntry:
    """A job in its team's heap.

    The comparison is explicit because the generated one builds two tuples and
    takes a tenth of the time of placing a task.
    """

    key: float
    arrival: int
    submission_id: str

    def __lt__(self, other: "HeapEntry") -> bool:
        """Order by key, then by arrival."""
        if self.key != other.key:
            return self.key < other.key
        return self.arrival < other.arrival


class Order(ABC):
    """Chooses the next team by `team_key` and a job of that team by `job_key`."""

    def __init__(self) -> None:
        self._heaps: dict[str, list[HeapEntry]] = {}
        self._teams = TeamIndex()

    @abstractmethod
    def job_key(self, board: Blackboard, job: WaitingJob) -> float:
        """Return the sort key of a job within its team; the smallest is first."""

    @abstractmethod
    def team_key(self, use: TeamUse, head: HeapEntry) -> float:
        """Return the sort key of a team; the smallest is first."""

    def put(self, board: Blackboard, job: WaitingJob) -> None:
        """Add a job that has waiting tasks, or update its position."""
        heap = self._heaps.get(job.team)
        if heap is None:
            heap = self._heaps[job.team] = []
            use = team_use(board, job.team)
            use.served = max(use.served, board.queue.virtual_time)
        job.order_key = self.job_key(board, job)
        heappush(heap, HeapEntry(job.order_key, job.arrival, job.submission_id))

    def next_job(self, board: Blackboard) -> WaitingJob | None:
        """Return the job whose task is placed next, or None if quotas allow none."""
        best: WaitingJob | None = None
        best_key = 0.0
        for team in list(self._heaps):
            head = self._head(board, team)
            if head is None:
                del self._heaps[team]
                continue
            use = team_use(board, team)
            key = self.team_key(use, head)
            if best is not None and key >= best_key:
                continue
            if self.left(board, team) > 0:
                best, best_key = board.queue.jobs[head.submission_id], key
        return best

    def sendable(self, board: Blackboard) -> int:
        """Return how many waiting tasks the quotas allow to be sent."""
        return sum(
            max(0, min(team_use(board, team).waiting, self.left(board, team)))
            for team in self._heaps
        )

    def left(self, board: Blackboard, team: str) -> int:
        """Return how many more tasks of a team its quota lets this instance send."""
        settings = self._teams.find(board, team)
        return quota_left(board, settings, team_use(board, team))

    def served(self, board: Blackboard, team: str, work_ms: float) -> None:
        """Add work to a team's served time; negative corrects an overestimate."""
        use = team_use(board, team)
        if work_ms > 0:
            board.queue.virtual_time = max(board.queue.virtual_time, use.served)
        use.served += work_ms / max(1, self._teams.find(board, team).weight)

    def _head(self, board: Blackboard, team: str) -> HeapEntry | None:
        heap = self._heaps[team]
        while heap:
            head = heap[0]
            job = board.queue.jobs.get(head.submission_id)
            current = job is not None and job.order_key == head.key
            if current and job.keys and head.submission_id not in board.queue.held:
                return head
            heappop(heap)
        return None


_ORDERS: dict[str, type[Order]] = {}
OrderClass = TypeVar("OrderClass", bound=type[Order])


def register_order(name: str) -> Callable[[OrderClass], OrderClass]:
    """Return a decorator that registers an order under its name in the settings."""

    def enter(order_class: OrderClass) -> OrderClass:
        if name in _ORDERS:
            raise ValueError(f"order {name!r} is registered twice")
        _ORDERS[name] = order_class
        return order_class

    return enter


def orders() -> dict[str, type[Order]]:
    """Return the registered orders by name."""
    return dict(_ORDERS)


@register_order("fifo")
class FifoOrder(Order):
    """Baseline policy: the job that arrived first, regardless of its team."""

    def job_key(self, board: Blackboard, job: WaitingJob) -> float:
        """Return the arrival number."""
        return float(job.arrival)

    def team_key(self, use: TeamUse, head: HeapEntry) -> float:
        """Return the arrival number of the team's first job."""
        return head.key


@register_order("fair_shortest")
class FairShortestOrder(Order):
    """The team with the least served work by weight, then its shortest job.

    A job's key is the time that its waiting tasks take on this instance's share
    of the slots, plus its arrival time scaled by `AGEING_RATE`. All jobs age at
    the same rate, so a key changes only when tasks of the job are placed.
    """

    def job_key(self, board: Blackboard, job: WaitingJob) -> float:
        """Return the remaining run time of the job, adjusted for ageing."""
        runners = board.settings.service.runners
        slots = runners[0].slots * len(runners) if runners else 1
        part = max(1.0, slots / max(1, len(board.settings.service.instances)))
        return job.work_ms / part + AGEING_RATE * job.arrived_ms

    def team_key(self, use: TeamUse, head: HeapEntry) -> float:
        """Return the served work of the team, divided by its weight."""
        return use.served
