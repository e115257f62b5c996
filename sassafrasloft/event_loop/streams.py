"""Streams of msgpack messages between instances."""

import asyncio
import logging
from collections.abc import Callable

import msgpack

from sassafrasloft.blackboard import Event
from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.events import MessageReceived, StreamClosed, StreamOpened
from sassafrasloft.instance.messages import (
    MAX_MESSAGE_BYTES,
    Message,
    MessageMalformed,
    decode_message,
    encode_message,
)

_LOGGER = logging.getLogger(__name__)
_MS_IN_SECOND = 1_000
MAX_UNSENT_BYTES = 8_000_000
"""A receiver that does not read loses its stream."""
READ_BYTES = 16_384
"""Taken from a stream at once: some 100 messages, which take 1 ms to decode."""
INCOMING_IDS = 1 << 40
"""Ids of accepted streams start here, above those that the core gives out."""


class MessageStreams:
    """Streams that were opened here and streams that were accepted."""

    def __init__(self, tell: Callable[[Event], None]) -> None:
        self._tell = tell
        self._streams: dict[int, _MessageStream] = {}
        self._opening: dict[int, asyncio.Task] = {}
        self._last_incoming = INCOMING_IDS
        self._server: asyncio.Server | None = None
        self._paused = False
        self.buffer = bytearray(READ_BYTES)
        """For the bytes of one read; shared, since each is handled at once."""

    async def listen(self, host: str, port: int) -> None:
        """Bind the address for other instances."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port)

    def _accept(self) -> "_MessageStream":
        self._last_incoming += 1
        return _MessageStream(self, self._last_incoming)

    def open(self, stream_id: int, address: str, timeout_ms: Milliseconds) -> None:
        """Open a stream; its success or failure is told as an event."""
        loop = asyncio.get_running_loop()
        self._opening[stream_id] = loop.create_task(
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
            self._fail(StreamClosed(stream_id, timed_out=True))
        except OSError as error:
            refused = isinstance(error, ConnectionError)
            self._fail(StreamClosed(stream_id, refused=refused, timed_out=not refused))
        else:
            if self._opening.pop(stream_id, None) is None:
                self.close(stream_id)
            else:
                self._tell(StreamOpened(stream_id))

    def _fail(self, event: StreamClosed) -> None:
        if self._opening.pop(event.stream_id, None) is not None:
            self._tell(event)

    def send(self, stream_id: int, message: Message) -> None:
        """Send a message; dropped if the stream is closed."""
        stream = self._streams.get(stream_id)
        if stream is not None:
            stream.send(encode_message(message))

    def close(self, stream_id: int) -> None:
        """Close a stream without telling about it."""
        self._opening.pop(stream_id, None)
        stream = self._streams.pop(stream_id, None)
        if stream is not None:
            stream.close()

    def pause_reading(self, paused: bool) -> None:
        """Read no streams, or read them again."""
        self._paused = paused
        for stream in self._streams.values():
            stream.pause_reading(paused)

    def attached(self, stream: "_MessageStream") -> None:
        """Keep an open stream."""
        self._streams[stream.stream_id] = stream
        if self._paused:
            stream.pause_reading(True)

    def detached(self, stream: "_MessageStream") -> None:
        """Tell about a stream that the other side, or a fault, has ended."""
        if self._streams.pop(stream.stream_id, None) is not None:
            self._tell(StreamClosed(stream.stream_id))

    def received(self, stream: "_MessageStream", value: object) -> bool:
        """Hand on a message; return whether it could be read.

        Nothing is told of a stream that was closed, as by the message before this one.
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
    """One connection with messages in both directions."""

    def __init__(self, streams: MessageStreams, stream_id: int) -> None:
        self._streams = streams
        self.stream_id = stream_id
        self._transport: asyncio.Transport | None = None
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self._transport = transport
        self._streams.attached(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where the next bytes are to be written."""
        return self._streams.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Hand on each whole message."""
        try:
            self._unpacker.feed(memoryview(self._streams.buffer)[:nbytes])
            for value in self._unpacker:
                if not self._streams.received(self, value):
                    self._transport.abort()
                    return
        except (msgpack.UnpackException, ValueError) as error:
            _LOGGER.warning("stream closed: unreadable bytes: %s", error)
            self._transport.abort()

    def send(self, data: bytes) -> None:
        """Write a message unless the receiver has stopped reading."""
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._transport.abort()
            return
        self._transport.write(data)

    def pause_reading(self, paused: bool) -> None:
        """Leave what arrives to the operating system, or read it again."""
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def close(self) -> None:
        """Close after what was written is sent."""
        self._transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Tell about the end."""
        self._streams.detached(self)
