"""Rendering of traces as text trees for a terminal."""

from collections.abc import Iterable

from sassafrasloft.traces.spans import Span

MAX_LINES = 2_000
MAX_DEPTH = 64


def render_trace(spans: Iterable[Span], trace_id: str = "") -> str:
    """Render one or all traces as trees, with one span per line.

    Parameters
    ----------
    spans : iterable of Span
        Spans in any order, from any number of files.
    trace_id : str
        The id of the trace, or a prefix of it; all traces by default.

    Returns
    -------
    str
        The line of a span has its start time relative to the trace, its duration, name,
        instance and attributes. Lines beyond `MAX_LINES` are replaced by a note.
    """
    traces: dict[str, list[Span]] = {}
    for span in spans:
        if span.trace_id.startswith(trace_id):
            traces.setdefault(span.trace_id, []).append(span)
    lines: list[str] = []
    for found_id, trace_spans in traces.items():
        if len(lines) >= MAX_LINES:
            break
        lines.extend(_trace_lines(found_id, trace_spans))
    if len(lines) > MAX_LINES:
        lines[MAX_LINES:] = ["... more spans; give a trace id to see one trace"]
    return "\n".join(lines) + "\n" if lines else "no spans\n"


def _trace_lines(trace_id: str, spans: list[Span]) -> list[str]:
    known_ids = {span.span_id for span in spans}
    children: dict[str, list[Span]] = {}
    for span in sorted(spans, key=lambda span: (span.start_ms, span.span_id)):
        has_parent = span.parent_id in known_ids and span.parent_id != span.span_id
        children.setdefault(span.parent_id if has_parent else "", []).append(span)
    start_ms = min(span.start_ms for span in spans)
    lines = [f"trace {trace_id}"]
    pending = [(span, 0) for span in reversed(children.pop("", []))]
    while pending:
        span, depth = pending.pop()
        lines.append(_span_line(span, depth, start_ms))
        child_spans = children.pop(span.span_id, [])
        pending.extend((child, depth + 1) for child in reversed(child_spans))
    for unvisited in children.values():
        lines.extend(_span_line(span, 0, start_ms) for span in unvisited)
    return lines


def _span_line(span: Span, depth: int, start_ms: int) -> str:
    indent = "  " * min(depth, MAX_DEPTH)
    instance = f" [{span.instance}]" if span.instance else ""
    attributes = "".join(f" {name}={value}" for name, value in span.attributes)
    offset = f"+{span.start_ms - start_ms} ms"
    duration = f"{span.end_ms - span.start_ms} ms"
    text = f"{offset:>12} {duration:>10}  {indent}{span.name}{instance}{attributes}"
    return "".join(char if char.isprintable() else "?" for char in text)
