"""Ordering policies: the order in which waiting jobs get capacity.

Load pattern: a burst of jobs, or caller retries after an outage, need more capacity
than all runners have.
"""

from abc import ABC, abstractmethod

from sassafrasloft.clock import Milliseconds
from sassafrasloft.scheduling.jobs import ScheduledJob
from sassafrasloft.scheduling.lateness import is_late
from sassafrasloft.scheduling.registry import PolicyRegistry


class JobOrder(ABC):
    """Defines the order of waiting jobs."""

    @abstractmethod
    def key(self, job: ScheduledJob, now: Milliseconds) -> tuple:
        """Return the sort key of a job; the job with the lowest key goes first."""


ORDERS: PolicyRegistry[JobOrder] = PolicyRegistry("job order")


@ORDERS.register("arrival")
class ArrivalOrder(JobOrder):
    """First come, first served; the baseline policy."""

    def key(self, job: ScheduledJob, now: Milliseconds) -> tuple:
        """Return the time of arrival."""
        return (job.arrived_at,)


@ORDERS.register("in_time_first")
class InTimeFirst(JobOrder):
    """Jobs with a start sent first, then on-time before late jobs, by priority.

    After an outage, jobs that are late already get only the capacity that remains.
    """

    def key(self, job: ScheduledJob, now: Milliseconds) -> tuple:
        """Return the key of `PriorityOrder` with lateness ahead of priority."""
        late = not job.start_sent and is_late(job, now)
        return (not job.start_sent, late, job.priority, job.arrived_at)


@ORDERS.register("priority")
class PriorityOrder(JobOrder):
    """Jobs with a start sent first, then by priority, then by arrival.

    A job is of use to its caller only once all of its tasks are done. Completing jobs
    that have started avoids wasting the capacity already spent on them.
    """

    def key(self, job: ScheduledJob, now: Milliseconds) -> tuple:
        """Return whether no start has been sent, the priority and the arrival time."""
        return (not job.start_sent, job.priority, job.arrived_at)
