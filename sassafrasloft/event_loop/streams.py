"""Bidirectional streams of msgpack messages between instances."""

import asyncio
import logging
from collections.abc import Callable

import msgpack

from sassafrasloft.blackboard import Event
from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.events import MessageReceived, StreamClosed, StreamOpened
from sassafrasloft.instance.message_codec import (
    MAX_MESSAGE_BYTES,
    Message,
    MessageMalformed,
    decode_message,
    encode_message,
)

_LOGGER = logging.getLogger(__name__)
_MS_IN_SECOND = 1_000
MAX_UNSENT_BYTES = 8_000_000
"""A stream is aborted when its receiver leaves more bytes than this unread."""
READ_BYTES = 16_384
"""The maximum number of bytes in one read: about 100 messages, decoded in 1 ms."""
INCOMING_ID_BASE = 1 << 40
"""Ids of accepted streams start above this; the core assigns lower ids to its own."""


class MessageStreams:
    """The streams that this instance has opened and those that it has accepted."""

    def __init__(self, tell: Callable[[Event], None]) -> None:
        self._tell = tell
        self._streams: dict[int, _MessageStream] = {}
        self._connection_attempts: dict[int, asyncio.Task] = {}
        self._last_incoming_id = INCOMING_ID_BASE
        self._server: asyncio.Server | None = None
        self._paused = False
        self._last_message: Message | None = None
        """The message sent last; heartbeats are the same for many streams."""
        self._last_bytes = b""
        self.buffer = bytearray(READ_BYTES)
        """The read buffer of all streams; each read is handled before the next."""

    async def listen(self, host: str, port: int) -> None:
        """Bind the address and accept streams from other instances."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port)

    def _accept(self) -> "_MessageStream":
        self._last_incoming_id += 1
        return _MessageStream(self, self._last_incoming_id)

    def open(self, stream_id: int, address: str, timeout_ms: Milliseconds) -> None:
        """Open a stream; its success or failure is reported as an event."""
        loop = asyncio.get_running_loop()
        self._connection_attempts[stream_id] = loop.create_task(
            self._connect(stream_id, address, timeout_ms)
        )

    async def _connect(
        self, stream_id: int, address: str, timeout_ms: Milliseconds
    ) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(
            lambda: _MessageStream(self, stream_id), host, int(port)
        )
        try:
            await asyncio.wait_for(connecting, timeout_ms / _MS_IN_SECOND)
        except TimeoutError:
            self._report_failure(StreamClosed(stream_id, timed_out=True))
        except OSError as error:
            refused = isinstance(error, ConnectionError)
            self._report_failure(
                StreamClosed(stream_id, refused=refused, timed_out=not refused)
            )
        else:
            if self._connection_attempts.pop(stream_id, None) is None:
                self.close(stream_id)
            else:
                self._tell(StreamOpened(stream_id))

    def _report_failure(self, event: StreamClosed) -> None:
        if self._connection_attempts.pop(event.stream_id, None) is not None:
            self._tell(event)

    def send(self, stream_id: int, message: Message) -> None:
        """Send a message, or drop it if the stream is closed."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return
        if message is not self._last_message:
            self._last_bytes = encode_message(message)
            self._last_message = message
        stream.send(self._last_bytes)

    def close(self, stream_id: int) -> None:
        """Close a stream without reporting it as an event."""
        self._connection_attempts.pop(stream_id, None)
        stream = self._streams.pop(stream_id, None)
        if stream is not None:
            stream.close()

    def pause_reading(self, paused: bool) -> None:
        """Pause or resume reading from all streams."""
        self._paused = paused
        for stream in self._streams.values():
            stream.pause_reading(paused)

    def add_stream(self, stream: "_MessageStream") -> None:
        """Register an open stream."""
        self._streams[stream.stream_id] = stream
        if self._paused:
            stream.pause_reading(True)

    def remove_stream(self, stream: "_MessageStream") -> None:
        """Report a stream that its peer or a failure has closed."""
        if self._streams.pop(stream.stream_id, None) is not None:
            self._tell(StreamClosed(stream.stream_id))

    def handle_value(self, stream: "_MessageStream", value: object) -> bool:
        """Decode a received value, report its message and return whether it is valid.

        Values of a closed stream are ignored: handling an earlier message of the same
        read may have closed it.
        """
        if self._streams.get(stream.stream_id) is not stream:
            return True
        try:
            message = decode_message(value)
        except MessageMalformed as error:
            _LOGGER.warning("stream closed: %s", error)
            return False
        self._tell(MessageReceived(stream.stream_id, message))
        return True


class _MessageStream(asyncio.BufferedProtocol):
    """One connection that carries messages in both directions."""

    def __init__(self, streams: MessageStreams, stream_id: int) -> None:
        self._streams = streams
        self.stream_id = stream_id
        self._transport: asyncio.Transport | None = None
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the stream."""
        self._transport = transport
        self._streams.add_stream(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the shared read buffer."""
        return self._streams.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Decode each complete message; abort the stream on malformed data."""
        try:
            self._unpacker.feed(memoryview(self._streams.buffer)[:nbytes])
            for value in self._unpacker:
                if not self._streams.handle_value(self, value):
                    self._transport.abort()
                    return
        except (msgpack.UnpackException, ValueError) as error:
            _LOGGER.warning("stream closed: unreadable bytes: %s", error)
            self._transport.abort()

    def send(self, data: bytes) -> None:
        """Write a message, or abort the stream if its receiver has stopped reading."""
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._transport.abort()
            return
        self._transport.write(data)

    def pause_reading(self, paused: bool) -> None:
        """Pause or resume reading; while paused, the kernel buffers incoming data."""
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def close(self) -> None:
        """Close the stream after all written data is sent."""
        self._transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the stream and report that it has closed."""
        self._streams.remove_stream(self)
