"""Admission policies, which refuse a job before any task runs, and their registry."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TypeVar

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import Blackboard
from sassafrasloft.dispatch.estimates import usable
from sassafrasloft.dispatch.placements import fits
from sassafrasloft.dispatch.quotas import TeamIndex, team_use
from sassafrasloft.jobs import Answer, Fate, JobSpec, failed_answer
from sassafrasloft.state import TeamUse

MIN_RETRY_AFTER_MS: Milliseconds = 200
MAX_RETRY_AFTER_MS: Milliseconds = 30_000
NO_RUNNER_RETRY_MS: Milliseconds = 2_000
"""An unreachable runner is probed within 5 s, typically after half of that."""


class Admission(ABC):
    """Decides whether a job may enter this instance's queue."""

    @abstractmethod
    def refusal(self, board: Blackboard, job: JobSpec) -> Answer | None:
        """Return a refusal with the fate "not run", or None if the job is admitted."""


_ADMISSIONS: dict[str, type[Admission]] = {}
AdmissionClass = TypeVar("AdmissionClass", bound=type[Admission])


def register_admission(name: str) -> Callable[[AdmissionClass], AdmissionClass]:
    """Return a decorator that registers a policy under its name in the settings."""

    def enter(admission_class: AdmissionClass) -> AdmissionClass:
        if name in _ADMISSIONS:
            raise ValueError(f"admission {name!r} is registered twice")
        _ADMISSIONS[name] = admission_class
        return admission_class

    return enter


def admissions() -> dict[str, type[Admission]]:
    """Return the registered admission policies by name."""
    return dict(_ADMISSIONS)


def admission_refusal(board: Blackboard, job: JobSpec) -> Answer | None:
    """Return the refusal of a job, or None if it is admitted to the queue.

    Parameters
    ----------
    board : Blackboard
        Only read.
    job : JobSpec
        The job before it is accepted.

    Returns
    -------
    Answer or None
        Fate "not run"; its submission id is empty and is filled in by the
        caller. Kind ``overloaded`` with `retry_after_ms`, or ``too_large`` if
        no runner is large enough for one of the tasks.
    """
    name = board.settings.service.dispatch.admission
    return _ADMISSIONS[name]().refusal(board, job)


def _overloaded(
    detail: str, retry_after_ms: float, remedy: str = "Submit the job again later."
) -> Answer:
    bounded = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, int(retry_after_ms)))
    return failed_answer("", Fate.NOT_RUN, "overloaded", detail, remedy, bounded)


def _oversized(board: Blackboard, job: JobSpec) -> Answer | None:
    runners = board.settings.service.runners
    for task in job.tasks:
        if runners and not any(fits(task, runner) for runner in runners):
            detail = (
                f"task {task.name!r} needs {task.cores} cores, {task.memory_mb} MB "
                f"and {task.accelerators} accelerators, more than any runner has"
            )
            remedy = "Declare smaller tasks, or ask an operator for larger runners."
            return failed_answer("", Fate.NOT_RUN, "too_large", detail, remedy)
    return None


@register_admission("unbounded")
class UnboundedAdmission(Admission):
    """Baseline policy: refuses a job only when the queue is full."""

    def refusal(self, board: Blackboard, job: JobSpec) -> Answer | None:
        """Refuse a job that would exceed `max_waiting_tasks`."""
        limit = board.settings.service.limits.max_waiting_tasks
        waiting = board.queue.waiting_tasks
        if waiting + len(job.tasks) <= limit:
            return None
        return _overloaded(f"{waiting} tasks wait; the limit is {limit}", 1_000)


@register_admission("bounded")
class BoundedAdmission(Admission):
    """Refuses a job that would wait too long or exceed its team's queue share."""

    def refusal(self, board: Blackboard, job: JobSpec) -> Answer | None:
        """Refuse by task size, free queue capacity and estimated wait."""
        return (
            _oversized(board, job)
            or _full_queue(board, job)
            or _long_wait(board, job, team_use(board, job.team))
        )


def _full_queue(board: Blackboard, job: JobSpec) -> Answer | None:
    """Refuse a job that exceeds the free capacity of the queue or its team's share.

    A team may have as many waiting tasks as there are free places in the queue,
    so one team alone can fill half of the queue, and two teams a third each.
    """
    limit = board.settings.service.limits.max_waiting_tasks
    queue = board.queue
    left = limit - queue.waiting_tasks - len(job.tasks)
    use = team_use(board, job.team)
    drain_ms = _drain_ms(board, sum(one.waiting_work_ms for one in _active(board)))
    if left < 0:
        detail = f"{queue.waiting_tasks} tasks wait; the limit is {limit}"
        return _overloaded(detail, drain_ms / 2)
    if use.waiting and use.waiting + len(job.tasks) > left:
        detail = f"{use.waiting} tasks of the team wait, more than its share"
        return _overloaded(detail, drain_ms / 2)
    return None


def _long_wait(board: Blackboard, job: JobSpec, use: TeamUse) -> Answer | None:
    slots = _local_slots(board)
    if slots <= 0:
        detail = "no runner can be given work now"
        return _overloaded(detail, NO_RUNNER_RETRY_MS)
    wait_ms = use.waiting_work_ms / (slots * _team_share(board, job.team))
    limit_ms = board.settings.service.limits.max_queue_wait_ms
    bound_ms = min(limit_ms, job.deadline_ms)
    if wait_ms <= bound_ms:
        return None
    detail = f"the estimated wait is {int(wait_ms)} ms, the bound {bound_ms} ms"
    return _overloaded(detail, wait_ms - bound_ms)


def _local_slots(board: Blackboard) -> float:
    """Return this instance's share of the slots on usable runners.

    A runner whose incarnation is not known yet is counted, so that an instance
    that has just started accepts jobs.
    """
    slots = sum(
        state.settings.slots
        for state in board.upstreams.runners.values()
        if not state.incarnation or usable(board, state)
    )
    return slots / board.queue.live_instances


def _drain_ms(board: Blackboard, work_ms: float) -> float:
    return work_ms / max(1.0, _local_slots(board))


def _active(board: Blackboard) -> list[TeamUse]:
    return [use for use in board.queue.teams.values() if use.waiting]


_TEAMS = TeamIndex()


def _team_share(board: Blackboard, team: str) -> float:
    """Return a team's weighted share of the slots among teams with waiting tasks."""
    weights = sum(
        _TEAMS.find(board, name).weight
        for name, use in board.queue.teams.items()
        if use.waiting and name != team
    )
    own = _TEAMS.find(board, team).weight
    return own / max(1, own + weights)
