"""Checks of a job before it is accepted."""

import hashlib
import json

from sassafrasloft.core import Blackboard
from sassafrasloft.jobs import Answer, JobSpec, TaskSpec
from sassafrasloft.settings import LimitSettings, RunnerSettings
from sassafrasloft.submissions.refusals import FailureKind, not_run

DIGEST_BYTES = 16
"""128 bits: two different jobs of one id never have the same digest by chance."""


def job_digest(job: JobSpec) -> bytes:
    """Return a digest that is the same for the same job in every process."""
    tasks = [
        [
            task.name,
            task.payload,
            task.run_ms,
            task.cores,
            task.memory_mb,
            task.accelerators,
            task.idempotent,
        ]
        for task in job.tasks
    ]
    content = json.dumps([job.team, job.deadline_ms, tasks])
    return hashlib.blake2b(content.encode(), digest_size=DIGEST_BYTES).digest()


def job_refusal(board: Blackboard, submission_id: str, job: JobSpec) -> Answer | None:
    """Return why a job cannot be accepted, or None.

    Such a job is refused at once: it could only wait and fail later.
    """
    service = board.settings.service
    return (
        _size_refusal(submission_id, job, service.limits)
        or _field_refusal(submission_id, job)
        or _fit_refusal(submission_id, job, service.runners)
    )


def _malformed(submission_id: str, field: str, found: str, remedy: str) -> Answer:
    detail = f"{field}: {found}"
    return not_run(submission_id, FailureKind.MALFORMED_INPUT, detail, remedy)


def _size_refusal(
    submission_id: str, job: JobSpec, limits: LimitSettings
) -> Answer | None:
    if len(job.tasks) > limits.max_tasks_per_job:
        return not_run(
            submission_id,
            FailureKind.TOO_LARGE,
            f"tasks: the job has {len(job.tasks)} tasks, at most "
            f"{limits.max_tasks_per_job} are allowed",
            "Split the job and submit the parts under new submission ids.",
        )
    payload_size = sum(len(task.payload) for task in job.tasks)
    if payload_size > limits.max_body_bytes:
        return not_run(
            submission_id,
            FailureKind.TOO_LARGE,
            f"payload: the payloads have {payload_size} characters, at most "
            f"{limits.max_body_bytes} are allowed",
            "Make the payloads smaller or split the job.",
        )
    return None


def _field_refusal(submission_id: str, job: JobSpec) -> Answer | None:
    if not job.tasks:
        return _malformed(submission_id, "tasks", "the job is empty", "Add a task.")
    if job.deadline_ms < 1:
        found = f"found {job.deadline_ms}"
        return _malformed(submission_id, "deadline_ms", found, "Give 1 or more.")
    names: set[str] = set()
    for index, task in enumerate(job.tasks):
        field = f"tasks[{index}]"
        if not task.name:
            return _malformed(
                submission_id, f"{field}.name", "it is empty", "Give each task a name."
            )
        if task.name in names:
            return _malformed(
                submission_id,
                f"{field}.name",
                f"{task.name!r} is the name of an earlier task",
                "Give each task of a job its own name.",
            )
        names.add(task.name)
        lowest = min(task.run_ms, task.cores, task.memory_mb, task.accelerators)
        if lowest < 0:
            return _malformed(
                submission_id,
                field,
                f"run_ms, cores, memory_mb or accelerators is {lowest}",
                "Give 0 or more.",
            )
    return None


def _fit_refusal(
    submission_id: str, job: JobSpec, runners: tuple[RunnerSettings, ...]
) -> Answer | None:
    checked: set[tuple[int, int, int]] = set()
    for index, task in enumerate(job.tasks):
        shape = (task.cores, task.memory_mb, task.accelerators)
        if shape in checked:
            continue
        checked.add(shape)
        if not any(_fits(task, runner) for runner in runners):
            return not_run(
                submission_id,
                FailureKind.CANNOT_RUN,
                f"tasks[{index}]: no runner has {task.cores} cores, "
                f"{task.memory_mb} MB and {task.accelerators} accelerators",
                _largest(runners),
            )
    return None


def _fits(task: TaskSpec, runner: RunnerSettings) -> bool:
    return (
        task.cores <= runner.cores
        and task.memory_mb <= runner.memory_mb
        and task.accelerators <= runner.accelerators
    )


def _largest(runners: tuple[RunnerSettings, ...]) -> str:
    if not runners:
        return "Ask the operators to add a runner to the settings."
    largest = max(runners, key=lambda one: (one.accelerators, one.memory_mb, one.cores))
    return (
        f"Ask for less: the runner {largest.name} has {largest.cores} cores, "
        f"{largest.memory_mb} MB and {largest.accelerators} accelerators."
    )
