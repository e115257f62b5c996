"""Which runner a task goes to.

Load pattern: tasks of 8 to 20 cores on runners of 32 or 48: what is left on a
runner is often too little for another task. Many jobs may want one rack.
"""

from abc import ABC, abstractmethod

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs import RunnerPool, RunnerView
from sassafrasloft.runs.health import current_slowness
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


@attrs.frozen
class Candidate:
    """A runner that may get work now."""

    view: RunnerView
    slowness: float
    away_factor: float = 1.0
    """How many times as long tasks take whose data is in another rack."""

    def is_away(self, step: StepRequest) -> bool:
        """Return whether a step's data is in another rack."""
        rack = step.preferred_rack
        return bool(rack) and not self.view.entry.is_in(rack)


def candidates(pool: RunnerPool, service: str, now: Milliseconds) -> list[Candidate]:
    """Return the runners of a service that may get work, in a fixed order."""
    return [
        Candidate(view, current_slowness(view, now), pool.away_factor)
        for view in pool.runners.values()
        if view.entry.service == service and pool.usable(view, now)
    ]


class Placement(ABC):
    """Chooses a runner."""

    @abstractmethod
    def choose(
        self,
        offers: list[Candidate],
        job: ScheduledJob,
        task: ScheduledTask,
        latest_end: Milliseconds,
        now: Milliseconds,
    ) -> Candidate | None:
        """Return the runner for a task, or None if none has room."""


PLACEMENTS: PolicyRegistry[Placement] = PolicyRegistry("placement")


@PLACEMENTS.register("first_fit")
class FirstFit(Placement):
    """Takes the first runner with room; the baseline."""

    def choose(
        self,
        offers: list[Candidate],
        job: ScheduledJob,
        task: ScheduledTask,
        latest_end: Milliseconds,
        now: Milliseconds,
    ) -> Candidate | None:
        """Return the first runner with room."""
        step = job.request.steps[task.step]
        for offer in offers:
            if allowed(offer.view, job, task, step):
                return offer
        return None


@PLACEMENTS.register("best_fit")
class BestFit(Placement):
    """Takes the runner on which the least room remains; slow runners last.

    A runner away from a task's data is taken if the task is in time there, or cannot
    be in time in its rack either.
    """

    def choose(
        self,
        offers: list[Candidate],
        job: ScheduledJob,
        task: ScheduledTask,
        latest_end: Milliseconds,
        now: Milliseconds,
    ) -> Candidate | None:
        """Return the runner with the least remaining room."""
        step = job.request.steps[task.step]
        millicores = step.demand.millicores
        waits = _waits_for_rack(offers, job, step, latest_end, now)
        best: Candidate | None = None
        best_cost = float("inf")
        for offer in offers:
            view = offer.view
            cost = view.free.millicores - millicores
            if cost < 0 or not allowed(view, job, task, step):
                continue
            if offer.slowness > SLOW:
                if now + step.estimate_ms * offer.slowness > latest_end:
                    continue
                cost += SLOW_PENALTY * offer.slowness
            if offer.is_away(step):
                if waits:
                    continue
                cost += REMOTE_PENALTY
            if view.runner_id in task.failed_on:
                cost += FAILED_PENALTY
            if cost < best_cost:
                best_cost = cost
                best = offer
        return best


def _waits_for_rack(
    offers: list[Candidate],
    job: ScheduledJob,
    step: StepRequest,
    latest_end: Milliseconds,
    now: Milliseconds,
) -> bool:
    """Return whether a task would be late elsewhere and may yet be in time there."""
    if not step.preferred_rack or not offers:
        return False
    away_ms = step.estimate_ms * offers[0].away_factor
    if now + away_ms <= latest_end:
        return False
    if now + job.work_ms + LAST_CHANCE_MS > latest_end:
        return False
    return any(not offer.is_away(step) for offer in offers)


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
