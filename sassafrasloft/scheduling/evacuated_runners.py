"""Jobs that no runner can take while an availability zone is evacuated.

Load pattern: an operator evacuates the only zone with runners of a service, or with
runners that have a required label or enough capacity, while jobs for them arrive.
"""

from sassafrasloft.runs import RunnerPool, RunnerView
from sassafrasloft.scheduling.jobs import ScheduledJob
from sassafrasloft.workload import StepRequest


def has_only_evacuated_runners(job: ScheduledJob, pool: RunnerPool) -> bool:
    """Return whether all runners for one of a job's steps are in evacuated zones.

    A step for which no runner is known at all does not count: its runners may not have
    been listed yet.
    """
    if not pool.evacuated_zones:
        return False
    return any(
        _has_only_evacuated_runners(job.route.service, step, pool)
        for step in job.request.steps
    )


def _has_only_evacuated_runners(
    service: str, step: StepRequest, pool: RunnerPool
) -> bool:
    found_evacuated = False
    for view in pool.runners.values():
        if not _may_ever_run(view, service, step):
            continue
        if view.entry.zone not in pool.evacuated_zones:
            return False
        found_evacuated = True
    return found_evacuated


def _may_ever_run(view: RunnerView, service: str, step: StepRequest) -> bool:
    entry = view.entry
    has_label = not step.required_label or step.required_label in entry.labels
    return entry.service == service and has_label and step.demand.fits(entry.capacity)
