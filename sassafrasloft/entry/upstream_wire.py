"""JSON encoding of the runner interface; see docs/runner-interface.md."""

import json
from collections.abc import Iterable
from typing import Any

import attrs

from sassafrasloft.core import Assignment, Deliver
from sassafrasloft.errors import MalformedInput
from sassafrasloft.jobs import ReportState, RunnerCapacity, TaskKey, TaskReport


@attrs.frozen
class ReportLine:
    """One line of the streamed reply to a delivery."""

    report: TaskReport
    capacity: RunnerCapacity | None


@attrs.frozen
class ReportList:
    """The reply to a settle, stop or fence request."""

    runner_incarnation: str
    reports: tuple[TaskReport, ...]


def authority_of(submission_id: str) -> str:
    """Return the incarnation in a submission id, or an empty string without one."""
    parts = submission_id.split(".")
    return parts[1] if len(parts) > 1 else ""


def _key_values(key: TaskKey) -> dict[str, Any]:
    return {"submission_id": key.submission_id, "index": key.index}


def _task_values(assignment: Assignment) -> dict[str, Any]:
    task = assignment.task
    return {
        "submission_id": assignment.key.submission_id,
        "index": assignment.key.index,
        "authority": authority_of(assignment.key.submission_id),
        "name": task.name,
        "payload": task.payload,
        "run_ms": task.run_ms,
        "cores": task.cores,
        "memory_mb": task.memory_mb,
        "accelerators": task.accelerators,
        "idempotent": task.idempotent,
    }


def delivery_body(command: Deliver, sender_incarnation: str) -> bytes:
    """Encode the request body of a delivery."""
    values = {
        "delivery_id": command.delivery_id,
        "runner_incarnation": command.runner_incarnation,
        "sender_incarnation": sender_incarnation,
        "lease_ms": command.lease_ms,
        "trace_id": command.trace_id,
        "parent_span_id": command.parent_span_id,
        "tasks": [_task_values(one) for one in command.assignments],
    }
    return json.dumps(values, separators=(",", ":")).encode()


def keys_body(runner_incarnation: str, keys: Iterable[TaskKey]) -> bytes:
    """Encode the request body of settle and stop."""
    values = {
        "runner_incarnation": runner_incarnation,
        "keys": [_key_values(key) for key in keys],
    }
    return json.dumps(values, separators=(",", ":")).encode()


def fence_body(incarnation: str) -> bytes:
    """Encode the request body of fence."""
    return json.dumps({"incarnation": incarnation}).encode()


def parse_line(line: bytes) -> ReportLine:
    """Parse one line of the reply to a delivery.

    Raises
    ------
    MalformedInput
        If the line is not in the documented format.
    """
    values = _load(line)
    capacity = values.get("capacity")
    try:
        known = None if capacity is None else _capacity(capacity)
        return ReportLine(_report(values), known)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedInput("report", f"{error!r:.120}") from error


def parse_reports(body: bytes) -> ReportList:
    """Parse the reply to settle, stop or fence.

    Raises
    ------
    MalformedInput
        If the body is not in the documented format.
    """
    values = _load(body)
    try:
        reports = tuple(_report(one) for one in values["reports"])
        return ReportList(_parse_string(values["runner_incarnation"]), reports)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedInput("reports", f"{error!r:.120}") from error


@attrs.frozen
class ProbeReply:
    """The reply of a runner to a probe."""

    healthy: bool
    capacity: RunnerCapacity


def parse_probe(body: bytes) -> ProbeReply:
    """Parse the reply to a probe.

    Raises
    ------
    MalformedInput
        If the body is not in the documented format.
    """
    values = _load(body)
    try:
        return ProbeReply(values["healthy"] is True, _capacity(values["capacity"]))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedInput("probe", f"{error!r:.120}") from error


def _load(body: bytes) -> dict[str, Any]:
    try:
        values = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise MalformedInput("reply", f"not JSON: {error!s:.80}") from error
    if not isinstance(values, dict):
        raise MalformedInput("reply", "not an object")
    return values


def _report(values: dict[str, Any]) -> TaskReport:
    return TaskReport(
        key=TaskKey(
            _parse_string(values["submission_id"]), _parse_count(values["index"])
        ),
        state=ReportState(values["state"]),
        result=_parse_string(values.get("result", "")),
        reason=_parse_string(values.get("reason", "")),
        run_ms=_parse_count(values.get("run_ms", 0)),
    )


def _capacity(values: dict[str, Any]) -> RunnerCapacity:
    return RunnerCapacity(
        runner_incarnation=_parse_string(values["runner_incarnation"]),
        free_slots=_parse_count(values["free_slots"]),
        waiting=_parse_count(values.get("waiting", 0)),
        leaving=values.get("leaving") is True,
    )


def _parse_string(value: Any) -> str:
    if type(value) is not str:
        raise TypeError(f"expected a string, found {value!r:.40}")
    return value


def _parse_count(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise TypeError(f"expected a non-negative integer, found {value!r:.40}")
    return value
