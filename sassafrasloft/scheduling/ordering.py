"""The order in which waiting jobs get room.

Load pattern: a burst, or callers that come back after an outage, ask for more than
all runners have.
"""

from abc import ABC, abstractmethod

from sassafrasloft.clock import Milliseconds
from sassafrasloft.scheduling.jobs import ScheduledJob
from sassafrasloft.scheduling.lateness import is_late
from sassafrasloft.scheduling.registry import PolicyRegistry


class JobOrder(ABC):
    """Sorts waiting jobs."""

    @abstractmethod
    def key(self, job: ScheduledJob, now: Milliseconds) -> tuple:
        """Return the sort key; the lowest goes first."""


ORDERS: PolicyRegistry[JobOrder] = PolicyRegistry("job order")


@ORDERS.register("arrival")
class ArrivalOrder(JobOrder):
    """First come, first served; the baseline."""

    def key(self, job: ScheduledJob, now: Milliseconds) -> tuple:
        """Return the time of arrival."""
        return (job.arrived_at,)


@ORDERS.register("in_time_first")
class InTimeFirst(JobOrder):
    """Jobs that have begun first, then those that can be in time, by priority.

    After an outage the jobs that are late already take the room that is left.
    """

    def key(self, job: ScheduledJob, now: Milliseconds) -> tuple:
        """Return what `PriorityOrder` does, behind whether the job is late."""
        late = not job.offered and is_late(job, now)
        return (not job.offered, late, job.priority, job.arrived_at)


@ORDERS.register("priority")
class PriorityOrder(JobOrder):
    """Jobs that have begun first, then by priority, then by arrival.

    A job counts when all of its tasks have ended: room given to a job that has
    begun is not wasted.
    """

    def key(self, job: ScheduledJob, now: Milliseconds) -> tuple:
        """Return whether it has not begun, its priority and its arrival."""
        return (not job.offered, job.priority, job.arrived_at)
