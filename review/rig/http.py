"""A minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


def now() -> float:
    """Return the monotonic time in seconds."""
    return time.monotonic()


@dataclass
class Request:
    """A request as a stand-in receives it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Return the body as a JSON document; an empty one without a body."""
        return json.loads(self.body) if self.body else {}


@dataclass
class Response:
    """A response, or the reason why there is none."""

    status: int = 0
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    failure: str = ""

    def json(self) -> dict:
        """Return the body as a JSON document."""
        return json.loads(self.body) if self.body else {}


Handler = Callable[[Request], Awaitable[tuple[int, dict] | None]]


class Server:
    """Serves a handler; a handler that returns None leaves its request unanswered."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, host: str, port: int) -> None:
        """Accept connections at an address."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=2**22)

    def close(self, reset: bool = False) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                request = await read_request(reader)
                answer = await self._handler(request)
                if answer is None:
                    await reader.read()
                    return
                status, document = answer
                body = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            writer.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    return Request(method, parts.path, query, headers, body)


class Client:
    """A client with one connection, which it opens when it first needs it."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(
        self,
        method: str,
        target: str,
        host: str,
        document: dict | None = None,
        headers: dict[str, str] | None = None,
        wait_s: float = 5.0,
    ) -> Response:
        """Send a request and return its response, or why there is none."""
        try:
            return await asyncio.wait_for(
                self._call(method, target, host, document, headers or {}), wait_s
            )
        except TimeoutError:
            self.close()
            return Response(failure="no response in time")
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            return Response(failure=f"connection broken: {type(error).__name__}")

    async def _call(
        self,
        method: str,
        target: str,
        host: str,
        document: dict | None,
        headers: dict[str, str],
    ) -> Response:
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self.address)
        reader, writer = self._streams
        writer.write(request_bytes(method, target, host, document, headers))
        await writer.drain()
        first, received = await read_head(reader)
        body = await reader.readexactly(int(received.get("content-length", "0")))
        if received.get("connection", "").lower() == "close":
            self.close()
        return Response(int(first.split(" ")[1]), body, received)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def request_bytes(
    method: str,
    target: str,
    host: str,
    document: dict | None = None,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return an encoded request."""
    body = json.dumps(document).encode() if document is not None else b""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if document is not None:
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
