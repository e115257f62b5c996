"""Which runner a task goes to.

Load pattern: tasks of 8 to 20 cores on runners of 32 or 48: what is left on a
runner is often too little for another task. Many jobs may want one rack.
"""

from abc import ABC, abstractmethod

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs import RunnerView
from sassafrasloft.runs.health import current_slowness
from sassafrasloft.scheduling.free_room import FreeRoom
from sassafrasloft.scheduling.jobs import ScheduledJob, ScheduledTask
from sassafrasloft.scheduling.registry import PolicyRegistry
from sassafrasloft.workload import StepRequest

SLOW = 1.5
"""Above the spread of sound runners and of estimates."""
SLOW_PENALTY = 40_000
"""Millicores of remaining room for each unit of slowness: a slow runner is taken
only if no sound one has room."""
REMOTE_PENALTY = 20_000
"""Millicores of remaining room for a runner away from the task's data."""
LAST_CHANCE_MS = 12
"""A job waits for the rack of its data until this long before it would be late there:
a little more than the margin after which admission refuses it."""
FAILED_PENALTY = 80_000
"""Millicores of remaining room for a runner where the task has failed before."""


class Placement(ABC):
    """Chooses a runner."""

    @abstractmethod
    def choose(
        self,
        room: FreeRoom,
        job: ScheduledJob,
        task: ScheduledTask,
        latest_end: Milliseconds,
        now: Milliseconds,
    ) -> RunnerView | None:
        """Return the runner for a task, or None if none has room."""


PLACEMENTS: PolicyRegistry[Placement] = PolicyRegistry("placement")


@PLACEMENTS.register("first_fit")
class FirstFit(Placement):
    """Takes the first runner with room; the baseline."""

    def choose(
        self,
        room: FreeRoom,
        job: ScheduledJob,
        task: ScheduledTask,
        latest_end: Milliseconds,
        now: Milliseconds,
    ) -> RunnerView | None:
        """Return the first runner with room."""
        step = job.request.steps[task.step]
        for view in room:
            if allowed(view, job, task, step):
                return view
        return None


@PLACEMENTS.register("best_fit")
class BestFit(Placement):
    """Takes the runner on which the least room remains; slow runners last.

    A runner away from a task's data is taken if the task is in time there, or cannot
    be in time in its rack either.
    """

    def choose(
        self,
        room: FreeRoom,
        job: ScheduledJob,
        task: ScheduledTask,
        latest_end: Milliseconds,
        now: Milliseconds,
    ) -> RunnerView | None:
        """Return the runner with the least remaining room."""
        step = job.request.steps[task.step]
        millicores = step.demand.millicores
        waits = _waits_for_rack(room, job, step, latest_end, now)
        best: RunnerView | None = None
        best_cost = float("inf")
        for view in room.at_least(millicores):
            cost = view.free.millicores - millicores
            if cost >= best_cost:
                break
            if not allowed(view, job, task, step):
                continue
            slowness = current_slowness(view, now)
            if slowness > SLOW:
                if now + step.estimate_ms * slowness > latest_end:
                    continue
                cost += SLOW_PENALTY * slowness
            rack = step.preferred_rack
            if rack and not view.entry.is_in(rack):
                if waits:
                    continue
                cost += REMOTE_PENALTY
            if view.runner_id in task.failed_on:
                cost += FAILED_PENALTY
            if cost < best_cost:
                best_cost = cost
                best = view
        return best


def _waits_for_rack(
    room: FreeRoom,
    job: ScheduledJob,
    step: StepRequest,
    latest_end: Milliseconds,
    now: Milliseconds,
) -> bool:
    """Return whether a task would be late elsewhere and may yet be in time there."""
    if not step.preferred_rack:
        return False
    if now + step.estimate_ms * room.away_factor <= latest_end:
        return False
    if now + job.work_ms + LAST_CHANCE_MS > latest_end:
        return False
    return room.has_rack(step.preferred_rack)


def allowed(
    view: RunnerView, job: ScheduledJob, task: ScheduledTask, step: StepRequest
) -> bool:
    """Return whether a runner has room for a task and may run it."""
    if not step.demand.fits(view.free):
        return False
    if step.required_label and step.required_label not in view.entry.labels:
        return False
    if view.quarantines and view.runs:
        return False
    if step.most_per_runner:
        prefix = f"{job.job_id}.0.{task.step}."
        here = sum(1 for name in view.runs if name.startswith(prefix))
        return here < step.most_per_runner
    return True
