"""Exchange of the configuration between instances that the store does not reach.

Heartbeats between a scheduler and its followers carry the version of the configuration
in force. An instance that has an older one, and does not get the newer one from the
store in time, requests it from the sender.

Load pattern: a large configuration is on its way to all instances while leadership
moves. Sent to each of them by the new scheduler as well, it would delay the heartbeats
and the starts of tasks on that instance's link.
"""

import zlib

from returns.result import Failure, Result, Success

from sassafrasloft.blackboard import Controller, Event, TimerFired
from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import SendMessage
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    ConfigurationOffered,
    ConfigurationReceived,
    ConfigurationRequested,
    NewerConfigurationReported,
)
from sassafrasloft.instance.messages import (
    CompressedConfiguration,
    ConfigurationRequest,
)

OFFER_TIMER = "metadata.offer"
STORE_GRACE_MS = 1_000
"""How long an instance waits for the store before it requests a newer configuration: a
document of 1 MB takes 0.9 s over a link of 12.5 Mbit/s, and a configuration has to be
applied within 2,000."""
REQUEST_RETRY_MS = 1_000
OFFERED_BYTES_PER_MS = 400
"""Rate at which an instance sends configurations: a quarter of 12.5 Mbit/s."""
MAX_WAITING_REQUESTS = 1_000
"""Limit of requests that wait to be served; further ones are dropped and repeated."""
MAX_DOCUMENT_BYTES = 4_000_000
"""Limit of an uncompressed document; the store's values have at most 1 MB."""
COMPRESSION_LEVEL = 1


@CONTROLLERS.register("configuration_exchange", order=15)
class ConfigurationExchange(Controller):
    """Requests newer configurations from other instances, and sends the own one."""

    handles = (
        NewerConfigurationReported,
        ConfigurationRequested,
        ConfigurationReceived,
        TimerFired,
    )

    def __init__(self) -> None:
        self._older_since: Milliseconds = -1
        """When a newer version than the current one was first reported."""
        self._older_version = -1
        """The version that was current then."""
        self._next_request_at: Milliseconds = 0
        self._next_offer_at: Milliseconds = 0
        self._waiting: dict[int, int] = {}
        """Version of the requesting instance, by stream."""
        self._compressed: tuple[int, bytes] = (0, b"")
        """The document that was compressed last, with its version."""

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Handle reports, requests and documents of other instances."""
        if isinstance(event, NewerConfigurationReported):
            self._consider_request(event.stream_id, board)
        elif isinstance(event, ConfigurationRequested):
            if len(self._waiting) < MAX_WAITING_REQUESTS:
                self._waiting[event.stream_id] = event.version
            self._offer_next(board)
        elif isinstance(event, ConfigurationReceived):
            self._receive(event.compressed, board)
        elif isinstance(event, TimerFired) and event.name == OFFER_TIMER:
            self._offer_next(board)

    def _consider_request(self, stream_id: int, board: InstanceBoard) -> None:
        current = board.configuration.current.version
        if current != self._older_version:
            self._older_version = current
            self._older_since = board.now
        # An instance without any configuration serves nobody.
        grace_ms = STORE_GRACE_MS if current else 0
        due_at = max(self._older_since + grace_ms, self._next_request_at)
        if board.now < due_at:
            return
        self._next_request_at = board.now + REQUEST_RETRY_MS
        board.count("configurations_requested")
        board.log("configuration_requested", version=current)
        board.emit(SendMessage(stream_id, ConfigurationRequest(current)))

    def _offer_next(self, board: InstanceBoard) -> None:
        """Send the configuration to the next instance that has an older one."""
        configuration = board.configuration
        version = configuration.current.version
        while self._waiting and board.now >= self._next_offer_at:
            stream_id = next(iter(self._waiting))
            if self._waiting.pop(stream_id) >= version:
                continue
            if self._compressed[0] != version:
                document = zlib.compress(configuration.document, COMPRESSION_LEVEL)
                self._compressed = (version, document)
            message = CompressedConfiguration(self._compressed[1])
            board.emit(SendMessage(stream_id, message))
            duration_ms = len(message.document) // OFFERED_BYTES_PER_MS
            self._next_offer_at = board.now + duration_ms
        if self._waiting:
            board.set_timer(OFFER_TIMER, self._next_offer_at - board.now)

    def _receive(self, compressed: bytes, board: InstanceBoard) -> None:
        match _decompress(compressed):
            case Success(document):
                board.post(ConfigurationOffered(document))
            case Failure(reason):
                board.log("configuration_unreadable", "ERROR", reason=reason)


def _decompress(compressed: bytes) -> Result[bytes, str]:
    """Return a document, or why it cannot be decompressed."""
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        return Failure(str(error))
    if not decompressor.eof:
        return Failure(f"truncated, or longer than {MAX_DOCUMENT_BYTES} bytes")
    return Success(document)
