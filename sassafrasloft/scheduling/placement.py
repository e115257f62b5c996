"""Placement policies: which runner a task is placed on.

Load pattern: tasks need 8 to 20 cores on runners of 32 or 48 cores, so that the free
capacity of a runner is often too small for another task. The data of many jobs may be
in the same rack.
"""

from abc import ABC, abstractmethod

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs import RunnerView, StartRule
from sassafrasloft.runs.health import current_slowness
from sassafrasloft.scheduling.free_capacity import FreeCapacity
from sassafrasloft.scheduling.jobs import ScheduledJob, ScheduledTask
from sassafrasloft.scheduling.registry import PolicyRegistry
from sassafrasloft.workload import StepRequest

SLOWNESS_LIMIT = 1.5
"""Slowness above which a runner counts as slow; it is above the variation of healthy
runners and of duration estimates."""
SLOW_PENALTY_MILLICORES = 40_000
"""Cost per unit of slowness, as remaining free capacity: a slow runner is chosen only
if no healthy one has enough free capacity."""
REMOTE_PENALTY_MILLICORES = 20_000
"""Cost of a runner outside the rack of the task's data, as remaining capacity."""
RACK_WAIT_MARGIN_MS = 12
"""A job stops waiting for the rack of its data this long before it would be late there:
slightly more than the margin before lateness at which admission refuses it."""
FAILED_PENALTY_MILLICORES = 80_000
"""Cost of a runner on which the task has failed before, as remaining capacity."""

SUSPECT_PENALTY_MILLICORES = 20_000
"""Cost of a runner with a task that may crash it, as remaining capacity."""


class Placement(ABC):
    """Chooses the runner for a task."""

    @abstractmethod
    def choose(
        self,
        capacity: FreeCapacity,
        job: ScheduledJob,
        task: ScheduledTask,
        latest_end: Milliseconds,
        now: Milliseconds,
    ) -> RunnerView | None:
        """Return the runner for a task, or None if there is no suitable one.

        Parameters
        ----------
        capacity : FreeCapacity
            The usable runners of the task's service.
        job : ScheduledJob
        task : ScheduledTask
        latest_end : int
            When the job has to end: the end of its objective or, if it is late
            already, its caller's deadline.
        now : int
        """


PLACEMENTS: PolicyRegistry[Placement] = PolicyRegistry("placement")


@PLACEMENTS.register("first_fit")
class FirstFit(Placement):
    """Chooses the first runner with enough free capacity; the baseline policy."""

    def choose(
        self,
        capacity: FreeCapacity,
        job: ScheduledJob,
        task: ScheduledTask,
        latest_end: Milliseconds,
        now: Milliseconds,
    ) -> RunnerView | None:
        """Return the first runner with enough free capacity."""
        step = job.request.steps[task.step]
        for view in capacity:
            if may_run(view, job, task, step):
                return view
        return None


@PLACEMENTS.register("best_fit")
class BestFit(Placement):
    """Chooses the runner with the least remaining free capacity; slow runners last.

    A runner outside the rack of a task's data is used if the task would be on time
    there, or if it would be late within the rack as well.
    """

    def choose(
        self,
        capacity: FreeCapacity,
        job: ScheduledJob,
        task: ScheduledTask,
        latest_end: Milliseconds,
        now: Milliseconds,
    ) -> RunnerView | None:
        """Return the runner with the lowest cost, based on remaining free capacity."""
        step = job.request.steps[task.step]
        if task.start_rule in (StartRule.APART, StartRule.ALONE):
            return _emptiest_runner(capacity, job, task, now)
        millicores = step.demand.millicores
        waits_for_rack = _should_wait_for_rack(capacity, job, step, latest_end, now)
        best: RunnerView | None = None
        best_cost = float("inf")
        for view in capacity.with_free_millicores(millicores):
            cost = view.free.millicores - millicores
            if cost >= best_cost:
                break
            if not may_run(view, job, task, step):
                continue
            slowness = current_slowness(view, now)
            if slowness > SLOWNESS_LIMIT:
                if now + step.estimate_ms * slowness > latest_end:
                    continue
                cost += SLOW_PENALTY_MILLICORES * slowness
            rack = step.preferred_rack
            if rack and not view.entry.is_in(rack):
                if waits_for_rack:
                    continue
                cost += REMOTE_PENALTY_MILLICORES
            if view.suspect_runs:
                cost += SUSPECT_PENALTY_MILLICORES
            if view.runner_id in task.failed_on:
                cost += FAILED_PENALTY_MILLICORES
            if cost < best_cost:
                best_cost = cost
                best = view
        return best


def _emptiest_runner(
    capacity: FreeCapacity, job: ScheduledJob, task: ScheduledTask, now: Milliseconds
) -> RunnerView | None:
    """Return the runner with the fewest runs, which a crash would end as well.

    A runner in the rack of the task's data comes first.
    """
    step = job.request.steps[task.step]
    able = [
        view
        for view in capacity.with_free_millicores(step.demand.millicores)
        if may_run(view, job, task, step)
    ]
    rack = step.preferred_rack
    return min(
        able,
        key=lambda view: (
            bool(rack) and not view.entry.is_in(rack),
            len(view.runs),
            current_slowness(view, now) > SLOWNESS_LIMIT,
            -view.free.millicores,
        ),
        default=None,
    )


def _should_wait_for_rack(
    capacity: FreeCapacity,
    job: ScheduledJob,
    step: StepRequest,
    latest_end: Milliseconds,
    now: Milliseconds,
) -> bool:
    """Return whether a task should wait for capacity in the rack of its data.

    This holds if it would be late on any other runner and can still be on time there.
    """
    if not step.preferred_rack:
        return False
    if now + step.estimate_ms * capacity.away_factor <= latest_end:
        return False
    if now + job.critical_path_ms + RACK_WAIT_MARGIN_MS > latest_end:
        return False
    return capacity.has_rack(step.preferred_rack)


def may_run(
    view: RunnerView, job: ScheduledJob, task: ScheduledTask, step: StepRequest
) -> bool:
    """Return whether a runner can take a task.

    It needs enough free capacity and the required label. A runner that has been
    quarantined takes one run at a time, and a step may limit its tasks per runner.
    """
    if not step.demand.fits(view.free):
        return False
    if step.required_label and step.required_label not in view.entry.labels:
        return False
    if view.isolated_runs or (task.start_rule is StartRule.ALONE and view.runs):
        return False
    if view.quarantines and view.runs:
        return False
    if step.max_per_runner:
        prefix = f"{job.job_id}.0.{task.step}."
        here = sum(1 for name in view.runs if name.startswith(prefix))
        return here < step.max_per_runner
    return True
