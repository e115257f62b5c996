"""Parser of job files in JSON, with errors for the people who write them."""

import json
from difflib import get_close_matches

import attrs
from returns.result import Failure, Result, Success

from sassafrasloft.errors import MalformedInput
from sassafrasloft.jobs import JobSpec, TaskSpec

MAX_ERRORS = 20
_MAX_NUMBER = 1_000_000_000
_TASK_FIELDS = {field.name: field for field in attrs.fields(TaskSpec)}
_JOB_KEYS = ("team", "deadline_ms", "tasks")
_MAY_BE_ZERO = ("accelerators",)

JobResult = Result[JobSpec, tuple[MalformedInput, ...]]


class _ErrorCollector:
    """Collects up to `MAX_ERRORS` errors of one job file."""

    def __init__(self, source: str) -> None:
        self._source = source
        self.found: list[MalformedInput] = []

    def add(self, field: str, found: str, remedy: str) -> None:
        if len(self.found) < MAX_ERRORS:
            self.found.append(MalformedInput(f"{self._source}: {field}", found, remedy))

    def add_unknown_key(self, where: str, key: str, known: tuple[str, ...]) -> None:
        similar = get_close_matches(key, known, n=1, cutoff=0.5)
        remedy = f"Known keys here: {', '.join(known)}."
        if similar:
            remedy = f"Write `{similar[0]}` if that is meant, or remove the key."
        self.add(f"{where}{key[:60]}", "an unknown key", remedy)


def parse_job(text: str, source: str = "job", team: str = "") -> JobResult:
    """Parse a job in JSON; return it or up to `MAX_ERRORS` errors.

    Parameters
    ----------
    text : str
        JSON in the format that docs/callers-interface.md describes.
    source : str
        Name of the file, for error messages.
    team : str
        Team of the job if the text does not name one.
    """
    errors = _ErrorCollector(source)
    try:
        value = json.loads(
            text, object_pairs_hook=lambda pairs: _object_from_pairs(pairs, errors)
        )
    except (ValueError, RecursionError) as error:
        place = f"line {getattr(error, 'lineno', 0)}"
        errors.add(
            place, "the text is not valid JSON", "Check quotes, commas and braces."
        )
        return Failure(tuple(errors.found))
    if not isinstance(value, dict):
        errors.add("job", "not an object", 'Start with {"team": ..., "tasks": [...]}.')
        return Failure(tuple(errors.found))
    for key in value:
        if key not in _JOB_KEYS:
            errors.add_unknown_key("", key, _JOB_KEYS)
    job_team = value.get("team", team)
    if not isinstance(job_team, str) or not job_team:
        errors.add("team", "missing or not a string", "Give the name of your team.")
    deadline = value.get("deadline_ms", JobSpec("", ()).deadline_ms)
    _check_number("deadline_ms", deadline, errors)
    tasks = _parse_tasks(value.get("tasks"), errors)
    if errors.found:
        return Failure(tuple(errors.found))
    return Success(JobSpec(team=job_team, tasks=tasks, deadline_ms=deadline))


def _object_from_pairs(
    pairs: list[tuple[str, object]], errors: _ErrorCollector
) -> dict[str, object]:
    values = dict(pairs)
    if len(values) != len(pairs):
        keys = [key for key, _ in pairs]
        duplicate = next(key for key in keys if keys.count(key) > 1)
        errors.add(duplicate[:60], "duplicate key", "Keep only one of them.")
    return values


def _parse_tasks(value: object, errors: _ErrorCollector) -> tuple[TaskSpec, ...]:
    if not isinstance(value, list) or not value:
        errors.add("tasks", "missing, empty or not a list", "List at least one task.")
        return ()
    tasks: list[TaskSpec] = []
    names: set[str] = set()
    for index, item in enumerate(value):
        task = _parse_task(f"tasks[{index}]", item, errors)
        if task is None:
            continue
        if task.name in names:
            remedy = "Give each task a unique name."
            errors.add(
                f"tasks[{index}].name",
                f"{task.name[:60]!r} is a duplicate name",
                remedy,
            )
        names.add(task.name)
        tasks.append(task)
    return tuple(tasks)


def _parse_task(where: str, value: object, errors: _ErrorCollector) -> TaskSpec | None:
    if not isinstance(value, dict):
        errors.add(where, "not an object", 'Write it like {"name": "km-1"}.')
        return None
    errors_before = len(errors.found)
    if not isinstance(value.get("name"), str) or not value["name"]:
        errors.add(f"{where}.name", "missing or not a string", "Name the task.")
    for key, content in value.items():
        field = _TASK_FIELDS.get(key)
        if field is None:
            errors.add_unknown_key(f"{where}.", key, tuple(_TASK_FIELDS))
        elif field.type is str and not isinstance(content, str):
            errors.add(f"{where}.{key}", "not a string", "Put the value in quotes.")
        elif field.type is bool and not isinstance(content, bool):
            errors.add(
                f"{where}.{key}", "neither true nor false", "Write true or false."
            )
        elif field.type is int:
            _check_number(
                f"{where}.{key}", content, errors, int(key not in _MAY_BE_ZERO)
            )
    return TaskSpec(**value) if len(errors.found) == errors_before else None


def _check_number(
    where: str, value: object, errors: _ErrorCollector, minimum: int = 1
) -> None:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not minimum <= value <= _MAX_NUMBER:
        remedy = f"Give an integer from {minimum} to {_MAX_NUMBER}, without a unit."
        errors.add(
            where, f"{str(value)[:40]!r} is not an integer in this range", remedy
        )
