"""The JSON form of the runners' interface, as a runner reads and writes it."""

import json
from typing import Any

import attrs
from cattrs import Converter
from cattrs.errors import BaseValidationError

from sassafrasloft.errors import MalformedInput
from sassafrasloft.jobs import RunnerCapacity, TaskKey, TaskReport, TaskSpec
from sassafrasloft.standins.runner import (
    NO_LEASE_MS,
    Delivery,
    OfferedTask,
    RunnerFaults,
    StartRecord,
)

_CONVERTER = Converter()
_TASK_FIELDS = tuple(field.name for field in attrs.fields(TaskSpec))


def parse_delivery(body: Any) -> Delivery:
    """Return a delivery from its JSON values.

    Raises
    ------
    MalformedInput
        If a field is missing or of another type.
    """
    try:
        return Delivery(
            delivery_id=str(body["delivery_id"]),
            runner_incarnation=str(body["runner_incarnation"]),
            sender_incarnation=str(body["sender_incarnation"]),
            tasks=tuple(_parse_task(task) for task in body["tasks"]),
            lease_ms=int(body.get("lease_ms", NO_LEASE_MS)),
        )
    except (KeyError, TypeError, ValueError, BaseValidationError) as error:
        raise MalformedInput("delivery", f"{error!r:.120}") from error


def _parse_task(body: Any) -> OfferedTask:
    fields = {name: body[name] for name in _TASK_FIELDS}
    return OfferedTask(
        key=parse_key(body),
        authority=str(body["authority"]),
        task=_CONVERTER.structure(fields, TaskSpec),
    )


def parse_key(body: Any) -> TaskKey:
    """Return the key of a task from its JSON values."""
    return TaskKey(str(body["submission_id"]), int(body["index"]))


def parse_keys(body: Any) -> tuple[str, tuple[TaskKey, ...]]:
    """Return the runner incarnation and the keys of a settle or stop request.

    Raises
    ------
    MalformedInput
        If a field is missing or of another type.
    """
    try:
        keys = tuple(parse_key(key) for key in body["keys"])
        return str(body["runner_incarnation"]), keys
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedInput("keys", f"{error!r:.120}") from error


def parse_incarnation(body: Any) -> str:
    """Return the incarnation that a fence request names.

    Raises
    ------
    MalformedInput
        If it is missing.
    """
    if not isinstance(body, dict) or not isinstance(body.get("incarnation"), str):
        raise MalformedInput("incarnation", "missing or not a text")
    return body["incarnation"]


def parse_faults(body: Any, present: RunnerFaults) -> RunnerFaults:
    """Return the present faults with those changed that the request names.

    Raises
    ------
    MalformedInput
        If a value is of another type.
    """
    names = [field.name for field in attrs.fields(RunnerFaults)]
    try:
        changed = {name: body[name] for name in names if name in body}
        merged = {**attrs.asdict(present), **changed}
        return _CONVERTER.structure(merged, RunnerFaults)
    except (TypeError, ValueError, BaseValidationError) as error:
        raise MalformedInput("faults", f"{error!r:.120}") from error


def report_values(report: TaskReport) -> dict[str, Any]:
    """Return the JSON values of a report."""
    return {
        "submission_id": report.key.submission_id,
        "index": report.key.index,
        "state": report.state.value,
        "result": report.result,
        "reason": report.reason,
        "run_ms": report.run_ms,
    }


def report_line(report: TaskReport, capacity: RunnerCapacity) -> bytes:
    """Return one line of the reply to a delivery."""
    values = report_values(report)
    values["capacity"] = attrs.asdict(capacity)
    return json.dumps(values, separators=(",", ":")).encode() + b"\n"


def reports_body(reports: list[TaskReport], capacity: RunnerCapacity) -> dict[str, Any]:
    """Return the reply to settle, stop and fence."""
    return {
        "runner_incarnation": capacity.runner_incarnation,
        "reports": [report_values(report) for report in reports],
        "capacity": attrs.asdict(capacity),
    }


def start_values(record: StartRecord) -> dict[str, Any]:
    """Return the JSON values of one start."""
    return {
        "submission_id": record.key.submission_id,
        "index": record.key.index,
        "authority": record.authority,
        "sender_incarnation": record.sender_incarnation,
        "runner_incarnation": record.runner_incarnation,
        "delivery_id": record.delivery_id,
        "started_ms": record.started_ms,
        "ended_ms": record.ended_ms,
    }
