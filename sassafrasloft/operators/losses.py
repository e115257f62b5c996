"""Which decisions lost requests, counted from the log lines of all instances.

A request is lost if it was not completed, or completed after its objective. Lines of
such requests are the last to be dropped under load; lines of the others are not
complete, so that no shares are given.
"""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable

import attrs

from sassafrasloft.operators.log_lines import LogLine

WINDOW_S = 2.0
"""Length of the windows among which the worst ones are shown."""
MAX_WINDOWS = 5
_NUMBER = re.compile(r"\d+")
_LATE = "completed late"
_REFUSED_BY_INSTANCE = {
    "job_beyond_intake": "refused by the instance: the scheduler is overloaded",
    "job_unsupported": "refused by the instance: not supported",
}


@attrs.frozen
class LostRequest:
    """A request that was not completed in time, and the decision that lost it."""

    time_s: float
    cause: str
    route: str


def lost_requests(
    lines: Iterable[LogLine], late_after_ms: dict[str, float]
) -> list[LostRequest]:
    """Return the requests that were lost, in order of time.

    Parameters
    ----------
    lines : iterable of LogLine
    late_after_ms : dict
        Objective by job, from `objectives`.
    """
    found = []
    for line in lines:
        fields = dict(line.fields)
        cause = _REFUSED_BY_INSTANCE.get(line.event, "")
        if line.event == "request_answered":
            cause = _cause_of(fields, late_after_ms)
        if cause:
            route = str(fields.get("route", ""))
            found.append(LostRequest(line.time_s, cause, route))
    return sorted(found, key=lambda one: one.time_s)


def objectives(lines: Iterable[LogLine]) -> dict[str, float]:
    """Return the latency objective by job, as its scheduler logged it."""
    ended = (dict(one.fields) for one in lines if one.event == "job_ended")
    return {
        str(fields["job"]): fields["objective_ms"]
        for fields in ended
        if "job" in fields and isinstance(fields.get("objective_ms"), int | float)
    }


def _cause_of(fields: dict[str, object], late_after_ms: dict[str, float]) -> str:
    """Return the cause of a request that is lost; empty if it was served in time."""
    answer = fields.get("answer")
    if answer != "completed":
        # Figures in reasons would give each request a cause of its own.
        reason = _NUMBER.sub("N", str(fields.get("reason", "")))
        return f"{answer}: {reason}".rstrip(": ")
    objective_ms = late_after_ms.get(str(fields.get("job")), float("inf"))
    duration_ms = fields.get("duration_ms", 0)
    is_late = isinstance(duration_ms, int | float) and duration_ms > objective_ms
    return _LATE if is_late else ""


def render_losses(lost: list[LostRequest]) -> str:
    """Return tables of the causes by route and of the worst windows."""
    if not lost:
        return "no lost requests"
    routes = sorted({one.route for one in lost})
    by_cause: dict[str, Counter[str]] = defaultdict(Counter)
    for one in lost:
        by_cause[one.cause][one.route] += 1
    rows = ["   lost  " + "  ".join(f"{route or '-':>9}" for route in routes)]
    for cause, counts in sorted(by_cause.items(), key=lambda one: -one[1].total()):
        cells = "  ".join(f"{counts[route]:9d}" for route in routes)
        rows.append(f"{counts.total():7d}  {cells}  {cause}")
    return "\n".join([*rows, "", *_worst_windows(lost)])


def _worst_windows(lost: list[LostRequest]) -> list[str]:
    """Return a line for each of the windows with the most lost requests."""
    begin_s = lost[0].time_s
    windows: dict[int, Counter[str]] = defaultdict(Counter)
    for one in lost:
        windows[int((one.time_s - begin_s) / WINDOW_S)][one.cause] += 1
    worst = sorted(windows.items(), key=lambda one: -one[1].total())[:MAX_WINDOWS]
    return [f"worst windows of {WINDOW_S:.0f} s, from the first loss on:"] + [
        f"{number * WINDOW_S:+7.0f} s  {causes.total():5d}  "
        + ", ".join(f"{count} {cause}" for cause, count in causes.most_common(3))
        for number, causes in sorted(worst)
    ]
