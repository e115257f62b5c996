"""Parsing and formatting of the W3C Trace Context header `traceparent`."""

import re

import attrs
from returns.result import Failure, Result, Success

from sassafrasloft.errors import MalformedInput

_TRACEPARENT_PATTERN = re.compile(
    r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?"
)
_SAMPLED = 0x01
_VERSION = "00"


@attrs.frozen
class TraceParent:
    """The parent span of a request.

    Parameters
    ----------
    trace_id : str
        32 hexadecimal digits.
    span_id : str
        16 hexadecimal digits.
    sampled : bool
        Whether the sender records the trace.
    """

    trace_id: str
    span_id: str
    sampled: bool = True


def parse_traceparent(text: str) -> Result[TraceParent, MalformedInput]:
    """Parse the value of a header; receivers ignore malformed ones."""
    match = _TRACEPARENT_PATTERN.fullmatch(text.strip()) if len(text) <= 512 else None
    if match is None:
        return Failure(_malformed_header(text))
    version, trace_id, span_id, flags, suffix = match.groups()
    has_unknown_suffix = version == _VERSION and suffix is not None
    has_zero_id = not int(trace_id, 16) or not int(span_id, 16)
    if version == "ff" or has_unknown_suffix or has_zero_id:
        return Failure(_malformed_header(text))
    return Success(TraceParent(trace_id, span_id, bool(int(flags, 16) & _SAMPLED)))


def format_traceparent(parent: TraceParent) -> str:
    """Return the value of the header for a parent span."""
    flags = "01" if parent.sampled else "00"
    return f"{_VERSION}-{parent.trace_id}-{parent.span_id}-{flags}"


def _malformed_header(text: str) -> MalformedInput:
    remedy = "Send version-trace id-span id-flags in hexadecimal, or no header."
    return MalformedInput("traceparent", repr(text[:80]), remedy)
