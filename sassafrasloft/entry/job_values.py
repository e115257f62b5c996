"""JSON values of jobs and answers; see docs/callers-interface.md."""

from typing import Any

import attrs

from sassafrasloft.errors import MalformedInput
from sassafrasloft.jobs import Answer, Fate, JobSpec, TaskOutcome, TaskSpec

MAX_NAME_CHARACTERS = 200

MAX_DURATION_MS = 86_400_000
"""One day; no job of sub-second tasks takes longer."""

MAX_AMOUNT = 1_000_000_000
"""Upper bound of the cores, megabytes or accelerators that a task declares."""

STATUS_BY_KIND = {
    "malformed_input": 400,
    "unknown_id": 404,
    "id_expired": 404,
    "not_submitted": 404,
    "id_conflict": 409,
    "too_large": 413,
    "overloaded": 429,
    "over_quota": 429,
    "owner_unreachable": 503,
    "instance_leaving": 503,
}
"""HTTP status of an answer by its error kind; all other answers use 200 or 202."""

_TASK_KEYS = frozenset(field.name for field in attrs.fields(TaskSpec))
_RESOURCE_FIELDS = ("cores", "memory_mb", "accelerators")


def parse_job(values: Any, team: str) -> JobSpec:
    """Parse and validate the JSON values of a job.

    Parameters
    ----------
    team : str
        Team of the caller's token, used if the job does not name a team.

    Raises
    ------
    MalformedInput
        If a field is invalid; the error names the first such field.
    """
    _require_object(values, "job", frozenset(("team", "deadline_ms", "tasks")))
    tasks = values.get("tasks")
    if not isinstance(tasks, list) or not tasks:
        raise MalformedInput("tasks", "missing, empty or not a list")
    job_team = values.get("team", team)
    if not isinstance(job_team, str):
        raise MalformedInput("team", "not a string")
    parsed = tuple(_parse_task(task, f"tasks[{n}]") for n, task in enumerate(tasks))
    names = set()
    for index, task in enumerate(parsed):
        if task.name in names:
            found = f"{task.name!r:.60} is used twice"
            raise MalformedInput(f"tasks[{index}].name", found)
        names.add(task.name)
    default_ms = attrs.fields(JobSpec).deadline_ms.default
    deadline_ms = values.get("deadline_ms", default_ms)
    _check_number(deadline_ms, "deadline_ms", 1, MAX_DURATION_MS)
    return JobSpec(job_team, parsed, deadline_ms)


def _parse_task(values: Any, place: str) -> TaskSpec:
    _require_object(values, place, _TASK_KEYS)
    name = values.get("name")
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARACTERS:
        found = f"missing, empty, not a string or over {MAX_NAME_CHARACTERS} characters"
        raise MalformedInput(f"{place}.name", found)
    task = TaskSpec(**values)
    if not isinstance(task.payload, str):
        raise MalformedInput(f"{place}.payload", "not a string")
    if not isinstance(task.idempotent, bool):
        raise MalformedInput(f"{place}.idempotent", "not true or false")
    _check_number(task.run_ms, f"{place}.run_ms", 0, MAX_DURATION_MS)
    for amount in _RESOURCE_FIELDS:
        _check_number(getattr(task, amount), f"{place}.{amount}", 0, MAX_AMOUNT)
    return task


def _require_object(values: Any, place: str, known: frozenset[str]) -> None:
    if not isinstance(values, dict):
        raise MalformedInput(place, "not an object")
    unknown = sorted(values.keys() - known)
    if unknown:
        remedy = f"Remove it, or use one of: {', '.join(sorted(known))}."
        raise MalformedInput(f"{place}.{unknown[0]:.40}", "unknown key", remedy)


def _check_number(value: Any, place: str, lowest: int, highest: int) -> None:
    if type(value) is not int or not lowest <= value <= highest:
        found = f"{value!r:.40} is not an integer from {lowest} to {highest}"
        raise MalformedInput(place, found)


def answer_values(answer: Answer) -> dict[str, Any]:
    """Return an answer as JSON values."""
    return {
        "submission_id": answer.submission_id,
        "fate": answer.fate.value,
        "kind": answer.kind,
        "detail": answer.detail,
        "remedy": answer.remedy,
        "retry_after_ms": answer.retry_after_ms,
        "final": answer.final,
        "next_submission_id": answer.next_submission_id,
        "outcomes": [_outcome_values(outcome) for outcome in answer.outcomes],
    }


def _outcome_values(outcome: TaskOutcome) -> dict[str, str]:
    return {
        "name": outcome.name,
        "fate": outcome.fate.value,
        "result": outcome.result,
        "reason": outcome.reason,
    }


def answer_status(answer: Answer) -> int:
    """Return the HTTP status of an answer."""
    if answer.fate is Fate.COMPLETE:
        return 200
    by_default = 202 if answer.fate is Fate.RUNNING else 200
    return STATUS_BY_KIND.get(answer.kind, by_default)
