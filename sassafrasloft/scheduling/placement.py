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
from sassafrasloft.scheduling.rack_wait import PlaceChoice
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
FIXED_RACK_WAIT_MS = 30
"""Wait of the baseline policy."""
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
        waits_for_rack = _should_wait_for_rack(capacity, job, step, latest_end, now)
        return self._lowest_cost(
            capacity, job, task, latest_end, now, only_rack=waits_for_rack
        )

    def _lowest_cost(
        self,
        capacity: FreeCapacity,
        job: ScheduledJob,
        task: ScheduledTask,
        latest_end: Milliseconds,
        now: Milliseconds,
        only_rack: bool,
    ) -> RunnerView | None:
        """Return the runner with the lowest cost, if need be in the rack of the data.

        A slow runner on which the task would end too late is left out.
        """
        step = job.request.steps[task.step]
        millicores = step.demand.millicores
        rack = step.preferred_rack
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
            if rack and not view.entry.is_in(rack):
                if only_rack:
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


@PLACEMENTS.register("expected_end")
class ExpectedEnd(BestFit):
    """Chooses as `BestFit`, but in the rack of the data while a wait for it pays.

    Load pattern and rule: `sassafrasloft.scheduling.rack_wait`.
    """

    def choose(
        self,
        capacity: FreeCapacity,
        job: ScheduledJob,
        task: ScheduledTask,
        latest_end: Milliseconds,
        now: Milliseconds,
    ) -> RunnerView | None:
        """Return a runner in the rack or, unless the task should wait, elsewhere."""
        step = job.request.steps[task.step]
        rack = step.preferred_rack
        is_restricted = task.start_rule in (StartRule.APART, StartRule.ALONE)
        if not rack or is_restricted or not capacity.longest_rack_wait_ms:
            return super().choose(capacity, job, task, latest_end, now)
        places = capacity.rack_places(rack, step.demand.millicores, now)
        view = self._lowest_cost(capacity, job, task, latest_end, now, only_rack=True)
        if view is not None:
            places.take_free_place(now)
            return view
        began_at = task.rack_wait_began_at
        duration_ms = _expected_ms(job, step)
        choice = PlaceChoice(
            duration_ms,
            capacity.away_factor,
            places.next_at(duration_ms),
            latest_end,
            capacity.backlog_ms,
            now - began_at if began_at >= 0 else 0,
        )
        if choice.wait_pays(now, RACK_WAIT_MARGIN_MS, capacity.longest_rack_wait_ms):
            places.add_waiting_task()
            if began_at < 0:
                task.rack_wait_began_at = now
            return None
        return self._lowest_cost(capacity, job, task, latest_end, now, only_rack=False)


@PLACEMENTS.register("fixed_rack_wait")
class FixedRackWait(BestFit):
    """Waits for the rack of the data for a fixed time; a baseline policy."""

    def choose(
        self,
        capacity: FreeCapacity,
        job: ScheduledJob,
        task: ScheduledTask,
        latest_end: Milliseconds,
        now: Milliseconds,
    ) -> RunnerView | None:
        """Return a runner in the rack, after the fixed time one elsewhere."""
        if not job.request.steps[task.step].preferred_rack:
            return super().choose(capacity, job, task, latest_end, now)
        view = self._lowest_cost(capacity, job, task, latest_end, now, only_rack=True)
        if view is not None or now - job.accepted_at < FIXED_RACK_WAIT_MS:
            return view
        return self._lowest_cost(capacity, job, task, latest_end, now, only_rack=False)


def _expected_ms(job: ScheduledJob, step: StepRequest) -> float:
    """Return the expected duration of a task in the rack of its data."""
    return job.critical_path_ms if len(job.request.steps) == 1 else step.estimate_ms


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
    if step.required_label and not _has_label(view, step.required_label):
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


def _has_label(view: RunnerView, label: str) -> bool:
    """Return whether a runner certainly has a label."""
    return label in view.entry.labels and not view.has_outdated_entry
