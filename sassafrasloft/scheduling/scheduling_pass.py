"""State of one pass over the waiting jobs."""

from collections import Counter

import attrs

from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.scheduling.backlog import WorkByClass
from sassafrasloft.scheduling.free_capacity import FreeCapacity
from sassafrasloft.scheduling.jobs import ScheduledJob
from sassafrasloft.scheduling.predecessor_runs import startable_work

NEVER = float("inf")


@attrs.define(eq=False)
class SchedulingPass:
    """State of one pass over the waiting jobs.

    Parameters
    ----------
    waiting : int
        The number of waiting jobs at the start of the pass.
    """

    waiting: int
    free_capacities: dict[str, FreeCapacity] = attrs.field(factory=dict)
    """Free capacity of the usable runners, by service."""
    preceding_work: Counter[str] = attrs.field(factory=Counter)
    """Waiting work of the jobs examined so far, by service."""
    backlog: WorkByClass = attrs.field(factory=dict)
    """Waiting work of all examined jobs, for the backlog of the job table."""
    next_decision_at: float = NEVER
    """Earliest time at which a job that still waits is to be refused, or to be placed
    outside the rack of its data."""

    def add_waiting_work(self, job: ScheduledJob, board: InstanceBoard) -> None:
        """Add the work of the tasks of a job that can start but got no capacity."""
        simple = not (job.has_deferred_tasks or job.resubmitted)
        work = job.waiting_work if simple else startable_work(job, board)
        if work:
            service = job.route.service
            self.preceding_work[service] += work
            late = job.is_caller_retry or board.now > job.latest_on_time_start
            key = (service, late, job.priority)
            self.backlog[key] = self.backlog.get(key, 0.0) + work
