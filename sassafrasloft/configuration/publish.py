"""Publication of edited settings by compare-and-swap, without I/O of its own.

A write replaces the document only if the key still has the revision that was read.
The reply may be lost after the write took effect. Each document therefore holds the
id of its edit and of preceding edits, so that reading the key back shows whether an
edit took effect.
"""

from collections.abc import Callable

import attrs
from returns.result import Failure, Result, Success

from sassafrasloft.configuration.document_changes import (
    DocumentHeader,
    changed_keys,
    read_header,
)
from sassafrasloft.errors import (
    ConfigurationConflict,
    MalformedInput,
    PlatformUnavailable,
    SassafrasloftError,
)
from sassafrasloft.messages import (
    KeyValue,
    PlatformCall,
    PlatformReply,
    ReadKey,
    WriteConflict,
    WriteKey,
    Written,
)

MAX_RECENT_EDIT_IDS = 32
"""Number of preceding edits listed in a document. At 11,000 changes a day they cover
four minutes, longer than a publication with all its attempts."""

MAX_DOCUMENT_BYTES = 1_000_000
"""The platform rejects larger values."""

MAX_ATTEMPTS = 5
"""Number of consecutive failed reads, or of writes in total, after which publication
ends with an unknown outcome. The operator then repeats the command with the same
edit id."""

CallService = Callable[[PlatformCall], PlatformReply]
"""Sends one call to the platform's service and returns its reply."""

RenderDocument = Callable[[int, tuple[str, ...]], str]
"""Returns the text of the new document, given its revision and recent edit ids."""


@attrs.frozen
class Edit:
    """An operator's edit of the published settings.

    Parameters
    ----------
    key : str
        The platform's key of the published settings.
    base_revision : int
        Revision of the document that the operator edited; 0 if there was none.
    edit_id : str
        Unique id of the edit. A repeated publication after an unknown outcome uses
        the same id.
    render : callable
        Returns the text of the new document.
    base_text : str
        The document that the operator edited, from which a conflict error derives
        what each side changed. Empty if there was none.
    above_revision : int
        The highest revision that instances report to be in force. The new revision
        is above it because instances never adopt a lower one. It is higher than
        the published revision if the platform was restored from an old copy.
    """

    key: str
    base_revision: int
    edit_id: str
    render: RenderDocument
    base_text: str = ""
    above_revision: int = 0


@attrs.frozen
class PublishOutcome:
    """The outcome of an edit that took effect.

    Parameters
    ----------
    revision : int
        Revision of the document that the edit produced.
    read_back : bool
        Whether the outcome is known from reading the key and not from the reply to
        the write.
    superseded : bool
        Whether the key already holds a newer edit.
    """

    revision: int
    read_back: bool = False
    superseded: bool = False


PublishResult = Result[PublishOutcome, SassafrasloftError]


def _no_wait(_: int) -> None:
    """Return at once; the default between attempts."""


class Publication:
    """Publishes one edit, with retries.

    Parameters
    ----------
    call : callable
        Sends a call to the platform's service.
    edit : Edit
        What to publish.
    wait : callable
        Called with the number of the retry before each retry; the operators' tool
        sleeps in it.
    """

    def __init__(
        self, call: CallService, edit: Edit, wait: Callable[[int], None] = _no_wait
    ) -> None:
        self._call = call
        self._edit = edit
        self._wait = wait
        self._writes = 0
        self._lost_replies = 0
        self._retries = 0

    def run(self) -> PublishResult:
        """Publish the edit.

        Returns
        -------
        Result
            The outcome, or an error if the edit did not take effect or if that is
            unknown.
        """
        failed_reads = 0
        while failed_reads < MAX_ATTEMPTS:
            if self._retries:
                self._wait(self._retries)
            reply = self._call(ReadKey(self._edit.key))
            if isinstance(reply, KeyValue):
                failed_reads = 0
                result = self._attempt(reply)
                if result is not None:
                    return result
            else:
                failed_reads += 1
            self._retries += 1
        return Failure(self._unknown_outcome("the key cannot be read"))

    def _attempt(self, stored: KeyValue) -> PublishResult | None:
        """Derive the outcome from the stored document, or write the edit.

        Returns
        -------
        Result or None
            The final result, or None if the key must be read again.
        """
        head_result = read_header(stored.value)
        if isinstance(head_result, Failure):
            return head_result
        head = head_result.unwrap()
        outcome = self._find_outcome(head)
        if outcome is not None:
            return Success(outcome)
        if head.revision != self._edit.base_revision:
            return Failure(self._conflict(stored.value, head))
        if self._writes >= MAX_ATTEMPTS:
            return Failure(self._unknown_outcome("the key does not show the edit"))
        recent = (head.edit_id, *head.recent_edit_ids) if head.edit_id else ()
        revision = max(head.revision, self._edit.above_revision) + 1
        text = self._edit.render(revision, recent[:MAX_RECENT_EDIT_IDS])
        error = self._validate(text, revision)
        if error is not None:
            return Failure(error)
        return self._write(text, revision, stored.revision)

    def _find_outcome(self, head: DocumentHeader) -> PublishOutcome | None:
        """Return the outcome if the stored document contains the edit, else None."""
        if head.edit_id == self._edit.edit_id:
            return PublishOutcome(head.revision, read_back=True)
        if self._edit.edit_id not in head.recent_edit_ids:
            return None
        position = head.recent_edit_ids.index(self._edit.edit_id)
        revision = head.revision - 1 - position
        return PublishOutcome(revision, read_back=True, superseded=True)

    def _write(
        self, text: str, revision: int, key_revision: int
    ) -> PublishResult | None:
        """Send one write.

        After a conflict or a lost reply, the key is read before it is written
        again. Writes that expect the same revision cannot both succeed, so at most
        one of several writes of this edit takes effect.
        """
        self._writes += 1
        reply = self._call(WriteKey(self._edit.key, text, key_revision))
        if isinstance(reply, Written):
            return Success(PublishOutcome(revision))
        if not isinstance(reply, WriteConflict):
            self._lost_replies += 1
        return None

    def _validate(self, text: str, revision: int) -> SassafrasloftError | None:
        if len(text.encode()) > MAX_DOCUMENT_BYTES:
            return MalformedInput(
                self._edit.key,
                f"a document of {len(text.encode())} bytes",
                f"Shorten it to {MAX_DOCUMENT_BYTES} bytes.",
            )
        head = read_header(text).value_or(DocumentHeader())
        if (head.revision, head.edit_id) != (revision, self._edit.edit_id):
            return MalformedInput(
                self._edit.key,
                f"revision {head.revision} and edit id {head.edit_id!r}",
                f"Render revision {revision} and edit id {self._edit.edit_id!r}.",
            )
        return None

    def _conflict(
        self, stored_text: str, head: DocumentHeader
    ) -> ConfigurationConflict:
        """Return an error that lists the keys changed by each of the two edits."""
        base = self._edit.base_text
        own_text = self._edit.render(self._edit.base_revision + 1, ())
        own_keys = changed_keys(base, own_text)
        their_keys = changed_keys(base, stored_text)
        common_keys = tuple(key for key in own_keys if key in their_keys)
        found = (
            f"revision {head.revision} by {head.author or 'nobody known'} (edit"
            f" {head.edit_id or 'unknown'}) changes {_format_keys(their_keys)};"
            f" your edit {self._edit.edit_id} of revision {self._edit.base_revision}"
            f" changes {_format_keys(own_keys)};"
            f" both change {_format_keys(common_keys)}"
        )
        remedy = (
            f"Your edit is not in effect. Read revision {head.revision}, repeat the"
            " edit on it and publish again."
        )
        return ConfigurationConflict(self._edit.key, found, remedy)

    def _unknown_outcome(self, found: str) -> PlatformUnavailable:
        if not self._lost_replies:
            return PlatformUnavailable(self._edit.key, f"{found}; nothing was written")
        return PlatformUnavailable(
            self._edit.key,
            f"{found}, and the replies to {self._lost_replies} writes of edit"
            f" {self._edit.edit_id} were lost; the edit may be in effect",
            "Publish again with the same edit id when the service is available; an"
            " edit that is in effect is not applied twice.",
        )


def _format_keys(keys: tuple[str, ...], max_shown: int = 10) -> str:
    """Return a comma-separated list of keys, shortened to `max_shown`."""
    if not keys:
        return "nothing"
    shown = ", ".join(keys[:max_shown])
    more = len(keys) - max_shown
    return f"{shown} and {more} more" if more > 0 else shown


def publish(
    call: CallService, edit: Edit, wait: Callable[[int], None] = _no_wait
) -> PublishResult:
    """Publish one edit; see `Publication`."""
    return Publication(call, edit, wait).run()
