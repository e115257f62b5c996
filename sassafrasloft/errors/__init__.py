"""Typed errors whose messages state what is wrong and how to remedy it."""

from sassafrasloft.errors.base import (
    SassafrasloftError,
    error_kinds,
    register_error,
)
from sassafrasloft.errors.kinds import (
    ConfigurationConflict,
    InvariantViolated,
    MalformedInput,
    MessageRejected,
    PlatformUnavailable,
    UpstreamUnreachable,
)

__all__ = [
    "ConfigurationConflict",
    "InvariantViolated",
    "MalformedInput",
    "MessageRejected",
    "PlatformUnavailable",
    "SassafrasloftError",
    "UpstreamUnreachable",
    "error_kinds",
    "register_error",
]
