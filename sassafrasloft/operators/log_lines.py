"""Reads the JSON log lines of several instances and follows one id through them."""

import json
from collections import Counter
from collections.abc import Iterable

import attrs


@attrs.frozen(order=True)
class LogLine:
    """One log line.

    Parameters
    ----------
    time_s : float
        Since 1970, less the age that the line states: when its decision was made.
    """

    time_s: float
    instance: str
    event: str
    fields: tuple[tuple[str, object], ...] = attrs.field(order=False)


_COMMON = ("time", "level", "event", "instance", "ago_ms", "dropped_lines")
_MS_IN_SECOND = 1_000


def read_line(text: str) -> LogLine | None:
    """Return the log line in a text, which may have a prefix; None if it has none."""
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        values = json.loads(text[begin:])
    except ValueError:
        return None
    if not isinstance(values, dict) or "event" not in values:
        return None
    time = values.get("time")
    if not isinstance(time, int | float):
        return None
    age = values.get("ago_ms", 0)
    fields = tuple((name, one) for name, one in values.items() if name not in _COMMON)
    return LogLine(
        time - age / _MS_IN_SECOND,
        str(values.get("instance", "?")),
        str(values["event"]),
        fields,
    )


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines in texts; others are passed over."""
    return [line for line in map(read_line, texts) if line is not None]


def lines_about(lines: Iterable[LogLine], identifier: str) -> list[LogLine]:
    """Return the lines that name an id of a job, task or runner, in order of time."""
    return sorted(
        line
        for line in lines
        if any(identifier in str(value) for _, value in line.fields)
    )


def beliefs_during(
    lines: Iterable[LogLine], begin_s: float, end_s: float
) -> list[LogLine]:
    """Return what instances came to believe in a span of time, without requests."""
    return sorted(
        line
        for line in lines
        if begin_s <= line.time_s <= end_s
        and not line.event.startswith(("job_", "request_"))
        and line.event != "caller_gone"
    )


def render(lines: list[LogLine]) -> str:
    """Return lines as text, with times from the first one in milliseconds."""
    if not lines:
        return "no lines"
    first = lines[0].time_s
    return "\n".join(
        f"{(line.time_s - first) * _MS_IN_SECOND:+9.0f} ms  {line.instance:<18} "
        f"{line.event:<22} "
        + " ".join(f"{name}={value}" for name, value in line.fields if value != "")
        for line in lines
    )


def summary(lines: Iterable[LogLine]) -> str:
    """Return how often each event occurs, and what ended requests."""
    listed = list(lines)
    events = Counter(line.event for line in listed)
    reasons = Counter(
        (str(fields.get("answer")), str(fields.get("reason")))
        for line in listed
        if line.event == "request_answered"
        for fields in [dict(line.fields)]
    )
    rows = [f"{count:7d}  {event}" for event, count in events.most_common()]
    rows += [
        f"{count:7d}  answered {answer} {reason}".rstrip()
        for (answer, reason), count in reasons.most_common()
    ]
    return "\n".join(rows)
