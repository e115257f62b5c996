"""Spans of the hops of a traced job, as log lines.

Instances have no disk: a span is a line of the log, and `sassafrasloft-admin trace`
reads it from there.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.traces.traceparent import TraceParent


def child_span(parent: TraceParent, board: InstanceBoard) -> TraceParent:
    """Return a new span under a parent."""
    return TraceParent(parent.trace_id, f"{board.random.getrandbits(64):016x}")


def record_span(
    board: InstanceBoard,
    span: TraceParent,
    parent: TraceParent,
    name: str,
    began_at: Milliseconds,
    **attributes: object,
) -> None:
    """Write a span that ends now.

    Parameters
    ----------
    board : InstanceBoard
    span, parent : TraceParent
        The span itself, and the one above it.
    name : str
    began_at : int
        By the clock of the board.
    **attributes : object
    """
    board.log_request(
        "span",
        trace=span.trace_id,
        span=span.span_id,
        parent=parent.span_id,
        name=name,
        duration_ms=board.now - began_at,
        **attributes,
    )
