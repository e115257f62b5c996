"""Recording of the spans of traced jobs as log lines.

Instances have no disk, so spans are written to the log, from which
`sassafrasloft-admin trace` reads them.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.traces.traceparent import TraceParent


def child_span(parent: TraceParent, board: InstanceBoard) -> TraceParent:
    """Return a new span that is a child of `parent`."""
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
        The span and its parent.
    name : str
    began_at : int
        Start of the span, by the time of the board.
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
