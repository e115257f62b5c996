"""Connections to other instances: one outgoing stream for each peer, one listener."""

import logging
import random
import select
import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from queue import Empty, Full, Queue

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import Event, PeerLinkChanged, PeerMessageReceived
from sassafrasloft.errors import MessageRejected
from sassafrasloft.messages import Hello, MessageRefused, PeerMessage
from sassafrasloft.messages.codec import MessageStream, encode_message

MAX_QUEUED_MESSAGES = 1_000
"""Messages that may wait in one stream; further messages are dropped."""

MAX_INBOUND_STREAMS = 64
"""Simultaneous incoming streams; further connections are closed immediately."""

CONNECT_TIMEOUT_S = 0.5
SEND_TIMEOUT_S = 3.0
"""The stream is closed if the peer accepts no data for this time."""

FIRST_BACKOFF_MS: Milliseconds = 100
MAX_BACKOFF_MS: Milliseconds = 2_000
RECEIVE_BYTES = 65_536
ACCEPT_PAUSE_S = 0.05

_LOGGER = logging.getLogger(__name__)

EventSink = Callable[[Event], None]


@attrs.frozen
class _Outgoing:
    address: str
    message: PeerMessage


class _OutgoingStream:
    """Sends messages to one peer from a dedicated thread.

    A message is lost if the stream cannot be opened immediately or if it breaks;
    the core resends the messages that require delivery.
    """

    def __init__(self, peer: str, tell: EventSink, hello: Callable[[], Hello]) -> None:
        self._peer = peer
        self._tell = tell
        self._hello = hello
        self._queue: Queue[_Outgoing | None] = Queue(MAX_QUEUED_MESSAGES)
        self._socket: socket.socket | None = None
        self._replies = MessageStream()
        self._address = ""
        self._backoff_ms = FIRST_BACKOFF_MS
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"peer-{peer}", daemon=True
        )
        self._thread.start()

    def send(self, outgoing: _Outgoing) -> None:
        try:
            self._queue.put_nowait(outgoing)
        except Full:
            _LOGGER.warning("message to %s lost: its queue is full", self._peer)

    def stop(self, timeout_s: float) -> None:
        """Send the queued messages, then close the stream."""
        with suppress(Full):
            self._queue.put_nowait(None)
        self._thread.join(timeout_s)
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            outgoing = self._queue.get()
            if outgoing is None:
                break
            try:
                self._send(outgoing)
            except MessageRejected as error:
                _LOGGER.error("message to %s lost: %s", self._peer, error)
            except OSError as error:
                self._handle_connection_loss(error)
        self._close()

    def _send(self, outgoing: _Outgoing) -> None:
        packed = encode_message(outgoing.message)
        if self._socket is not None and self._is_stale(outgoing.address):
            self._close()
            self._tell(PeerLinkChanged(self._peer, up=False))
        if self._socket is None:
            self._open(outgoing.address)
        self._socket.sendall(packed)

    def _open(self, address: str) -> None:
        opened = socket.create_connection(split_address(address), CONNECT_TIMEOUT_S)
        try:
            opened.settimeout(SEND_TIMEOUT_S)
            _set_options(opened)
            opened.sendall(encode_message(self._hello()))
        except BaseException:
            opened.close()
            raise
        self._socket = opened
        self._address = address
        self._replies = MessageStream()
        self._backoff_ms = FIRST_BACKOFF_MS
        self._tell(PeerLinkChanged(self._peer, up=True))

    def _is_stale(self, address: str) -> bool:
        """Return whether the peer closed the stream or has a new address."""
        if address != self._address:
            return True
        # select.select does not support file descriptors above 1,023.
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        if not poll.poll(0):
            return False
        chunk = self._socket.recv(RECEIVE_BYTES)
        for refused in self._replies.feed(chunk):
            _LOGGER.warning("%s refused a message: %s", self._peer, refused)
        return not chunk

    def _handle_connection_loss(self, error: OSError) -> None:
        _LOGGER.info("stream to %s lost: %s", self._peer, error)
        was_open = self._socket is not None
        self._close()
        if was_open:
            self._tell(PeerLinkChanged(self._peer, up=False))
        # Jitter prevents all instances from reconnecting at the same time.
        wait_ms = self._backoff_ms * random.uniform(0.5, 1.0)
        self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)
        self._stopped.wait(wait_ms / 1000)
        with suppress(Empty):
            while True:
                if self._queue.get_nowait() is None:
                    self._stopped.set()

    def _close(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None


class PeerStreams:
    """The outgoing and incoming streams between an instance and its peers.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on; port 0 selects a free port.
    tell : callable
        Passes an event to the core.
    hello : callable
        Returns the first message of each outgoing stream.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def __init__(
        self, address: str, tell: EventSink, hello: Callable[[], Hello]
    ) -> None:
        self._tell = tell
        self._hello = hello
        self._outgoing: dict[str, _OutgoingStream] = {}
        self._inbound: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._listener = socket.create_server(split_address(address), backlog=64)
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])
        self._accept_thread = threading.Thread(
            target=self._accept, name="peer-listener", daemon=True
        )

    def start(self) -> None:
        """Start to accept streams of peers."""
        self._accept_thread.start()

    def send(self, peer: str, address: str, message: PeerMessage) -> None:
        """Queue a message for a peer; the first message opens the stream.

        Must be called from one thread only.
        """
        stream = self._outgoing.get(peer)
        if stream is None:
            stream = _OutgoingStream(peer, self._tell, self._hello)
            self._outgoing[peer] = stream
        stream.send(_Outgoing(address, message))

    def stop(self, timeout_s: float = 1.0) -> None:
        """Send the queued messages, then close all streams."""
        self._stopping.set()
        for stream in self._outgoing.values():
            stream.stop(timeout_s)
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            for inbound in self._inbound:
                with suppress(OSError):
                    inbound.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                if self._stopping.is_set():
                    return
                # For example no free descriptors; the pause avoids a busy loop.
                self._stopping.wait(ACCEPT_PAUSE_S)
                continue
            with self._lock:
                full = len(self._inbound) >= MAX_INBOUND_STREAMS
                if not full:
                    self._inbound.add(accepted)
            if full:
                accepted.close()
                continue
            threading.Thread(
                target=self._receive, args=(accepted,), name="peer-in", daemon=True
            ).start()

    def _receive(self, accepted: socket.socket) -> None:
        stream = MessageStream()
        try:
            _set_options(accepted)
            self._read(accepted, stream)
        except OSError as error:
            _LOGGER.info("a stream from a peer broke: %s", error)
        finally:
            with self._lock:
                self._inbound.discard(accepted)
            accepted.close()

    def _read(self, accepted: socket.socket, stream: MessageStream) -> None:
        peer = ""
        while not stream.broken:
            chunk = accepted.recv(RECEIVE_BYTES)
            if not chunk:
                if stream.end() is not None:
                    _LOGGER.warning("the stream of %r ended inside a message", peer)
                return
            for message in stream.feed(chunk):
                if isinstance(message, MessageRejected):
                    _reject(accepted, peer, message)
                    continue
                if isinstance(message, Hello):
                    peer = message.instance
                if not peer:
                    _reject(accepted, peer, MessageRejected("stream", "no hello first"))
                    return
                self._tell(PeerMessageReceived(peer, message))


def _reject(accepted: socket.socket, peer: str, error: MessageRejected) -> None:
    """Report to the sender why its message was rejected; the stream stays open."""
    _LOGGER.warning("message of %r rejected: %s", peer, error)
    accepted.sendall(encode_message(MessageRefused(error.subject, error.found)))


def _set_options(stream: socket.socket) -> None:
    """Disable delays of small messages and detect an unresponsive peer."""
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    timeout_ms = int(SEND_TIMEOUT_S * 1000)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
