"""Tracing: span files, trace context in headers and traces rendered as trees."""

from sassafrasloft.traces.spans import Span, SpanWriter, read_spans, span_from_command
from sassafrasloft.traces.traceparent import (
    TraceParent,
    format_traceparent,
    parse_traceparent,
)
from sassafrasloft.traces.tree import render_trace

__all__ = [
    "Span",
    "SpanWriter",
    "TraceParent",
    "format_traceparent",
    "parse_traceparent",
    "read_spans",
    "render_trace",
    "span_from_command",
]
