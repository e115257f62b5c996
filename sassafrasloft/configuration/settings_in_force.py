"""Adoption of newer settings from the platform and from peers.

The platform's key is read once and then watched. If gossip shows that a peer has a
newer revision, and the platform does not deliver it in time, the document is
requested from the peer.
"""

import hashlib

from returns.result import Failure

from sassafrasloft.clock import Milliseconds
from sassafrasloft.configuration.documents import (
    CheckedDocument,
    DocumentParser,
    adopt_settings,
    settings_key,
)
from sassafrasloft.configuration.platform_calls import (
    PlatformCallCompleted,
    delay_next_call,
    request_call,
)
from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    PeerLinkChanged,
    PeerMessageReceived,
    SendToPeer,
    Started,
    register_controller,
)
from sassafrasloft.invariants import Invariant
from sassafrasloft.messages import (
    Gossip,
    KeyValue,
    ReadKey,
    SettingsDocument,
    SettingsRequest,
    WatchKey,
)
from sassafrasloft.settings import parse_document

SETTINGS_PURPOSE = "settings"

MAX_DOCUMENT_CHARACTERS = 1_000_000
"""The platform stores values of up to 1 MB."""

WATCH_GRACE_MS: Milliseconds = 1_000
"""How long a newer revision may be known only from gossip, while the platform is
available, before a peer is asked for it. The watch usually delivers the revision
sooner, which avoids the transfer of the document between peers."""

PEER_REPLY_TIMEOUT_MS: Milliseconds = 2_000
"""Time after a request to a peer before the document is requested again, also from
another peer."""


@register_controller("configuration.settings", 13)
class SettingsInForceController(Controller):
    """Adopts a document if it is valid and its revision is above the one in force.

    Parameters
    ----------
    parse : callable
        Parses and checks the text of a document.
    """

    handles = (Started, PlatformCallCompleted, PeerMessageReceived, PeerLinkChanged)

    def __init__(self, parse: DocumentParser = parse_document) -> None:
        self._parse_document = parse
        self._highest_revision = 0
        self._key_revision = 0
        self._is_key_read = False
        self._last_digest: bytes = b""
        self._rejected_revision = 0
        self._rejected_until_ms: Milliseconds = -1
        self._gossiped_revision = 0
        self._gossiped_since_ms: Milliseconds = -1
        self._queried_peer = ""
        self._queried_revision = 0
        self._peer_reply_due_ms: Milliseconds = -1

    def react(self, event: Event, board: Blackboard) -> None:
        """Follow the platform's key and the revisions that peers announce."""
        if isinstance(event, PlatformCallCompleted):
            if event.purpose == SETTINGS_PURPOSE:
                self._handle_platform_reply(event, board)
        elif isinstance(event, PeerMessageReceived):
            self._handle_message(event, board)
        elif isinstance(event, PeerLinkChanged):
            self._handle_link_change(event, board)
        else:
            self._highest_revision = board.settings.revision
            request_call(board, SETTINGS_PURPOSE, ReadKey(self._key(board)))

    def settle(self, board: Blackboard) -> None:
        """Check that no controller has replaced the settings by an older revision."""
        revision = board.settings.revision
        if revision != self._highest_revision:
            board.auditor.check(
                Invariant.CONFIGURATION_NEVER_REVERTS,
                revision > self._highest_revision,
                f"revision {revision} replaced {self._highest_revision}",
            )
            self._highest_revision = max(revision, self._highest_revision)

    @staticmethod
    def _key(board: Blackboard) -> str:
        return settings_key(board.settings.service.service)

    # The platform.

    def _handle_platform_reply(
        self, event: PlatformCallCompleted, board: Blackboard
    ) -> None:
        reply = event.reply
        if isinstance(reply, KeyValue):
            self._is_key_read = True
            self._key_revision = reply.revision
            if reply.value:
                self._process_document(reply.value, "platform", board)
            self._delay_repeated_watch(event, reply, board)
        if self._is_key_read:
            wait_ms = board.settings.service.platform.watch_wait_ms
            watch = WatchKey(self._key(board), self._key_revision, wait_ms)
            request_call(board, SETTINGS_PURPOSE, watch)
        else:
            request_call(board, SETTINGS_PURPOSE, ReadKey(self._key(board)))

    @staticmethod
    def _delay_repeated_watch(
        event: PlatformCallCompleted, reply: KeyValue, board: Blackboard
    ) -> None:
        """Delay the next watch if the last one returned early and without a change.

        Otherwise a service that does not hold the watch open would be called in a
        tight loop.
        """
        call = event.call
        if not isinstance(call, WatchKey) or reply.revision > call.after_revision:
            return
        if board.now - event.sent_at_ms < call.wait_ms // 2:
            delay_ms = board.settings.service.platform.max_retry_delay_ms // 2
            delay_next_call(board, SETTINGS_PURPOSE, delay_ms)

    # Peers.

    def _handle_message(self, event: PeerMessageReceived, board: Blackboard) -> None:
        message = event.message
        if isinstance(message, Gossip):
            self._handle_gossiped_revision(event.peer, message.settings_revision, board)
        elif isinstance(message, SettingsRequest):
            in_force = board.settings
            if in_force.revision > message.above_revision:
                document = SettingsDocument(in_force.revision, in_force.text)
                board.emit(SendToPeer(event.peer, document))
                board.metrics.add("messages_settings")
        elif (
            isinstance(message, SettingsDocument)
            and message.revision > board.settings.revision
        ):
            self._process_document(message.text, event.peer, board, message.revision)

    def _handle_link_change(self, event: PeerLinkChanged, board: Blackboard) -> None:
        if not event.up:
            if event.peer == self._queried_peer:
                self._peer_reply_due_ms = -1
        elif not self._is_key_read and board.now >= self._peer_reply_due_ms:
            self._request_from_peer(event.peer, 0, board)

    def _handle_gossiped_revision(
        self, peer: str, revision: int, board: Blackboard
    ) -> None:
        """Request a newer revision from a peer if the platform does not deliver it."""
        if revision <= board.settings.revision:
            return
        if revision > self._gossiped_revision:
            if self._gossiped_revision <= board.settings.revision:
                self._gossiped_since_ms = board.now
            self._gossiped_revision = revision
        is_grace_over = board.now - self._gossiped_since_ms >= WATCH_GRACE_MS
        if self._is_key_read and board.platform.available and not is_grace_over:
            return
        if revision <= self._rejected_revision and board.now < self._rejected_until_ms:
            return
        if revision <= self._queried_revision and board.now < self._peer_reply_due_ms:
            return
        self._request_from_peer(peer, revision, board)

    def _request_from_peer(self, peer: str, revision: int, board: Blackboard) -> None:
        self._queried_peer = peer
        self._queried_revision = revision
        self._peer_reply_due_ms = board.now + PEER_REPLY_TIMEOUT_MS
        board.emit(SendToPeer(peer, SettingsRequest(board.settings.revision)))
        board.metrics.add("messages_settings")

    # Documents.

    def _process_document(
        self, text: str, source: str, board: Blackboard, announced_revision: int = 0
    ) -> None:
        """Adopt a document, or log why it is rejected.

        Parameters
        ----------
        text : str
            The document.
        source : str
            ``platform`` or the name of the peer that sent the document.
        announced_revision : int
            The revision that the sender stated beside the document; 0 if none.
        """
        if text == board.settings.text:
            return
        digest = hashlib.blake2b(text.encode(), digest_size=16).digest()
        if digest == self._last_digest:
            self._suppress_requests(announced_revision, board)
            return
        self._last_digest = digest
        if len(text) > MAX_DOCUMENT_CHARACTERS:
            self._reject(
                source, announced_revision, "longer than 1 MB", "Shorten it.", board
            )
            return
        result = self._parse_document(text, board.identity.zone)
        if isinstance(result, Failure):
            found = "; ".join(str(error) for error in result.failure()[:3])
            remedy = "Correct it and publish it again with sassafrasloft-admin."
            self._reject(source, announced_revision, found, remedy, board)
            return
        self._adopt_if_newer(result.unwrap(), text, source, announced_revision, board)

    def _adopt_if_newer(
        self,
        document: CheckedDocument,
        text: str,
        source: str,
        announced_revision: int,
        board: Blackboard,
    ) -> None:
        in_force = board.settings
        service = in_force.service.service
        if document.settings.service != service:
            found = (
                f"settings of service {document.settings.service!r}, not {service!r}"
            )
            remedy = f"Publish them under {settings_key(document.settings.service)}."
            self._reject(source, announced_revision, found, remedy, board)
        elif announced_revision not in (0, document.revision):
            found = f"revision {document.revision}, announced as {announced_revision}"
            remedy = "Run the same release on all instances."
            self._reject(source, announced_revision, found, remedy, board)
        elif document.revision <= in_force.revision:
            board.metrics.add("settings_older")
            board.log(
                "WARNING",
                "settings_older",
                source=source,
                found=document.revision,
                in_force=in_force.revision,
                remedy="If this warning persists, publish again with a revision above"
                " the one in force.",
            )
        elif adopt_settings(board, document.revision, document.settings, text):
            board.log(
                "INFO", "settings_adopted", revision=document.revision, source=source
            )

    def _reject(
        self,
        source: str,
        announced_revision: int,
        found: str,
        remedy: str,
        board: Blackboard,
    ) -> None:
        self._suppress_requests(announced_revision, board)
        board.metrics.add("settings_refused")
        board.log(
            "ERROR",
            "settings_refused",
            source=source,
            found=found,
            in_force=board.settings.revision,
            remedy=remedy,
        )

    def _suppress_requests(self, announced_revision: int, board: Blackboard) -> None:
        """Suspend requests to peers for a rejected revision."""
        self._rejected_revision = max(announced_revision, self._rejected_revision)
        delay_ms = board.settings.service.platform.max_retry_delay_ms
        self._rejected_until_ms = board.now + delay_ms
