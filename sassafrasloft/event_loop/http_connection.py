"""One connection of a client: assembles its requests and writes the responses."""

import asyncio
from typing import TYPE_CHECKING

import httptools

from sassafrasloft.event_loop.http_messages import HttpRequest, HttpResponse

if TYPE_CHECKING:
    from sassafrasloft.event_loop.http_server import HttpServer

_MS_IN_SECOND = 1_000
ERROR_LINGER_S = 1.0
"""How long a connection stays open after an error response. Closing it with unread
bytes resets it, and the client could then lose the response."""
LINGER_BYTES = 262_144
"""Bytes that are read and dropped meanwhile; a client that goes on is cut off."""
PARSED_BYTES = 2_048
"""Bytes that are parsed at once. Pipelined requests beyond them stay unparsed until the
earlier ones are answered."""
REQUEST_OVERHEAD_BYTES = 1_024
"""Memory of a request beside its body, and of an arriving one in the parser."""
MAX_UNSENT_BYTES = 32_768
"""Response bytes that a client has not read, above which it is not served further."""


class ServerConnection(asyncio.BufferedProtocol):
    """The connection of one client; httptools callbacks assemble its requests.

    Parameters
    ----------
    server : HttpServer
    """

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._target = b""
        self._headers: dict[str, str] = {}
        self._header_bytes = 0
        self._head_is_complete = False
        self._body = bytearray()
        self._is_arriving = False
        """Whether a part of the next request has arrived."""
        self._silent_bytes = 0
        """Bytes since the parser last reported a part of a request. It keeps the bytes
        of a header until the end of the header."""
        self._made_progress = False
        self._unparsed = bytearray()
        """Bytes that arrived behind pipelined requests."""
        self._pipelined_requests: list[HttpRequest] = []
        self._pipelined_bytes = 0
        self._unanswered_bytes = 0
        self._is_rejected = False
        self._closes_after_response = False
        self._responses_are_unread = False
        self._dropped_bytes = 0
        self.request_id = 0

    @property
    def is_receiving(self) -> bool:
        """Whether a request is arriving and none waits for its answer."""
        return self._is_arriving and not self.request_id

    @property
    def is_idle(self) -> bool:
        """Whether no request is arriving or waits for its turn or its answer."""
        return not (self._is_arriving or self.request_id or self._has_more_requests)

    @property
    def _has_more_requests(self) -> bool:
        return bool(self._pipelined_requests or self._unparsed)

    @property
    def _takes_no_requests(self) -> bool:
        return self._is_rejected or self._closes_after_response

    @property
    def _is_held_back(self) -> bool:
        """Whether requests have to wait until others are answered and read."""
        return bool(self._pipelined_requests) or self._responses_are_unread

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timeout."""
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        if not self._server.add_connection(self):
            self._is_rejected = True
            response = HttpResponse.refusal(503, "too many connections")
            transport.write(response.to_bytes(close=True))
            transport.close()
            return
        self.update_reading()
        self._start_timer(self._server.limits.idle_timeout_ms)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the shared read buffer."""
        return self._server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the received bytes."""
        if self._is_rejected:
            self._dropped_bytes += nbytes
            if self._dropped_bytes > LINGER_BYTES:
                self._transport.abort()
            return
        if self._closes_after_response:
            return
        self._receive(memoryview(self._server.buffer)[:nbytes])

    def eof_received(self) -> bool:
        """Close the connection when the client closes its sending side."""
        return False

    def pause_writing(self) -> None:
        """Serve the client no further until it reads its responses."""
        self._responses_are_unread = True
        self.update_reading()
        if not self.request_id:
            self._start_timer(self._server.limits.idle_timeout_ms)

    def resume_writing(self) -> None:
        """Go on with requests that have arrived meanwhile."""
        self._responses_are_unread = False
        self._continue_soon()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection; its unanswered request is reported."""
        self._cancel_timer()
        self._drop_unread()
        self._server.remove_connection(self, reset=error is not None)

    # Arriving requests

    def _receive(self, data: memoryview | bytearray) -> None:
        for start in range(0, len(data), PARSED_BYTES):
            if self._is_held_back:
                self._unparsed += data[start:]
                break
            self._parse(data[start : start + PARSED_BYTES])
            if self._takes_no_requests:
                return
        self._account()
        self.update_reading()

    def _parse(self, data: memoryview | bytearray) -> None:
        self._made_progress = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrades are not supported")
        except httptools.HttpParserError as error:
            self._reject(400, f"malformed request: {type(error).__name__}")
        if self._made_progress:
            self._silent_bytes = 0
            return
        self._silent_bytes += len(data)
        if self._silent_bytes > self._server.limits.header_bytes:
            if self._is_arriving:
                self._reject(431, "the header is too large")
            else:
                self._reject(400, "empty lines in place of a request")

    def _account(self) -> None:
        """Report to the server what this connection holds."""
        unread = self._pipelined_bytes + len(self._unparsed)
        if self._is_arriving:
            unread += len(self._body) + self._silent_bytes + REQUEST_OVERHEAD_BYTES
        self._server.hold(self, unread, self._unanswered_bytes)

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Reset the request state and start the timeout of its arrival."""
        self._made_progress = True
        if self._takes_no_requests:
            return
        self._is_arriving = True
        self._target = b""
        self._headers = {}
        self._header_bytes = 0
        self._head_is_complete = False
        self._body = bytearray()
        self._start_timer(self._server.limits.header_timeout_ms)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._made_progress = True
        if self._takes_no_requests:
            return
        self._target += url
        self._add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header that the application needs; trailers are only counted."""
        self._made_progress = True
        self._add_header_bytes(len(name) + len(value))
        if self._head_is_complete or self._takes_no_requests:
            return
        key = name.decode("latin-1").lower()
        kept = self._server.kept_headers
        if kept is None or key in kept:
            self._headers[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Take no further headers: those behind the body are trailers."""
        self._made_progress = True
        self._head_is_complete = True

    def on_chunk_header(self) -> None:
        """Note that a chunk begins."""
        self._made_progress = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, or reject a body that is too large."""
        self._made_progress = True
        if self._takes_no_requests:
            return
        limit = self._server.limits.body_bytes
        if len(self._body) + len(body) > limit:
            self._reject(413, f"the body exceeds {limit} bytes")
        else:
            self._body += body

    def on_message_complete(self) -> None:
        """Start the request, or queue it until earlier requests are answered."""
        self._made_progress = True
        if self._takes_no_requests:
            return
        self._cancel_timer()
        self._is_arriving = False
        size = len(self._body) + REQUEST_OVERHEAD_BYTES
        request = HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            bytes(self._body),
        )
        self._body = bytearray()
        if self.request_id:
            self._pipelined_requests.append(request)
            self._pipelined_bytes += size
        elif self._server.budget.has_room_for(size):
            self._start(request, size)
        else:
            self._server.count_refusal("memory")
            self.refuse_for_memory()

    def _start(self, request: HttpRequest, size: int) -> None:
        self._unanswered_bytes = size
        self._server.start_request(self, request)

    # Responses

    def respond(self, response: HttpResponse) -> None:
        """Write a response and go on with the next pipelined request, if any."""
        self.request_id = 0
        self._unanswered_bytes = 0
        has_more = self._has_more_requests
        close = self._closes_after_response or (self._server.stopping and not has_more)
        self._transport.write(response.to_bytes(close))
        if close:
            self._transport.close()
        elif has_more:
            self._continue_soon()
        else:
            self._account()
            self._await_next_request()

    def _await_next_request(self) -> None:
        limits = self._server.limits
        is_arriving = self._is_arriving
        self._start_timer(
            limits.header_timeout_ms if is_arriving else limits.idle_timeout_ms
        )

    def _continue_soon(self) -> None:
        asyncio.get_running_loop().call_soon(self._continue)

    def _continue(self) -> None:
        """Start the next pipelined request, or read on if there is none."""
        if self._transport.is_closing() or self._takes_no_requests:
            return
        if self.request_id or self._responses_are_unread:
            return
        if self._pipelined_requests:
            request = self._pipelined_requests.pop(0)
            size = len(request.body) + REQUEST_OVERHEAD_BYTES
            self._pipelined_bytes -= size
            self._start(request, size)
        elif self._unparsed:
            data, self._unparsed = self._unparsed, bytearray()
            self._await_next_request()
            self._receive(data)
            return
        else:
            self._await_next_request()
        self._account()
        self.update_reading()

    def update_reading(self) -> None:
        """Pause or resume reading; while paused, the kernel buffers incoming data."""
        waits = self._is_held_back or self._unparsed or self._closes_after_response
        if self._server.paused or waits:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being received or answered."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    # Refusals

    def refuse_for_memory(self) -> None:
        """Refuse what has not been read or started, to release its memory."""
        self._reject(503, "too many unfinished requests")

    def give_up(self) -> None:
        """Close the connection to make room for another one."""
        self._drop_unread()
        self._transport.abort()

    def _add_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._reject(431, "the header is too large")

    def _reject(self, status: int, reason: str) -> None:
        """Refuse a request that was not started, and close the connection.

        A request that waits for its answer gets it first; the refused one then gets
        none, as it would seem to answer the earlier one.
        """
        if self._takes_no_requests:
            return
        self._cancel_timer()
        self._drop_unread()
        if self.request_id:
            self._closes_after_response = True
            self.update_reading()
            return
        self._is_rejected = True
        response = HttpResponse.refusal(status, reason)
        self._transport.write(response.to_bytes(close=True))
        asyncio.get_running_loop().call_later(ERROR_LINGER_S, self._close_or_abort)

    def _drop_unread(self) -> None:
        self._is_arriving = False
        self._target = b""
        self._headers = {}
        self._body = bytearray()
        self._unparsed = bytearray()
        self._pipelined_requests.clear()
        self._pipelined_bytes = 0
        self._silent_bytes = 0
        self._server.budget.hold(self, 0, self._unanswered_bytes)

    def _close_or_abort(self) -> None:
        """Close the connection, at once if its client does not read."""
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()

    # Timeouts

    def _start_timer(self, timeout_ms: int) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_ms / _MS_IN_SECOND, self._handle_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        self._timer = None
        if self.is_receiving:
            self._reject(408, "the request did not arrive in time")
        elif not self.request_id:
            self._close_or_abort()
