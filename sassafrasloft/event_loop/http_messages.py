"""HTTP requests and responses that are held completely in memory."""

import json
from typing import Any

import attrs

_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@attrs.frozen
class HttpRequest:
    """An HTTP request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def host(self) -> str:
        """The host name without a port."""
        return self.headers.get("host", "").partition(":")[0].lower()

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen
class HttpResponse:
    """An HTTP response."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"

    @classmethod
    def json(
        cls, status: int, value: Any, headers: tuple[tuple[str, str], ...] = ()
    ) -> "HttpResponse":
        """Return a response with a JSON body."""
        return cls(status, json.dumps(value).encode(), headers)

    @classmethod
    def refusal(cls, status: int, reason: str) -> "HttpResponse":
        """Return the response to a request that was not read whole or not started."""
        headers = (("Retry-After", "1"),) if status == 503 else ()
        return cls.json(status, {"error": reason}, headers)

    def to_bytes(self, close: bool) -> bytes:
        """Return the encoded response; `close` adds the header `Connection: close`."""
        lines = [
            f"HTTP/1.1 {self.status} {_REASON_PHRASES.get(self.status, 'Status')}",
            f"Content-Type: {self.content_type}",
            f"Content-Length: {len(self.body)}",
        ]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if close:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + self.body


def request_head(
    method: str, target: str, host: str, headers: tuple[tuple[str, str], ...] = ()
) -> bytes:
    """Return the head of a request with a JSON body, up to the value of Content-Length.

    The caller appends the length of the body, an empty line and the body, so that the
    head can be cached between requests.
    """
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {host}",
        "Content-Type: application/json",
    ]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append("Content-Length: ")
    return "\r\n".join(lines).encode("latin-1")


def request_bytes(
    method: str,
    target: str,
    host: str,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
) -> bytes:
    """Return an encoded request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    if body or method == "POST":
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
