"""HTTP servers with JSON bodies, for the entry process and the stand-ins."""

from sassafrasloft.listeners.application import (
    JsonApplication,
    JsonReply,
    JsonRequest,
    error_reply,
    route,
)
from sassafrasloft.listeners.listener import HttpListener, ListenerLimits

__all__ = [
    "HttpListener",
    "JsonApplication",
    "JsonReply",
    "JsonRequest",
    "ListenerLimits",
    "error_reply",
    "route",
]
