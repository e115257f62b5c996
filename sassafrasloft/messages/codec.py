"""Codec of messages between instances, in msgpack.

A message is encoded as the array ``[protocol version, kind, fields]``. Attrs
classes are encoded as arrays of their field values in order, because field names
would take more than half of the 3 KB/s that gossip may use. A release may append
fields with defaults to a class: the decoder ignores surplus fields and sets
missing ones to their defaults.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any

import attrs
import msgpack
from cattrs import Converter, UnstructureStrategy

from sassafrasloft.errors import MessageRejected
from sassafrasloft.messages.kinds import PeerMessage, message_kinds

PROTOCOL_VERSION = 1

MAX_MESSAGE_BYTES = 16_000_000
"""A handover of 2,000 answers, each of 340 outcomes with short names, fits."""


def _type_check_hook(expected: type) -> Callable[[Any, Any], Any]:
    """Return a hook that accepts only the expected type and converts nothing.

    The default hooks convert their input: `bytes(n)` would allocate n bytes if
    a peer sent a number in place of bytes.
    """

    def check(value: Any, _: Any) -> Any:
        if type(value) is not expected:
            found = type(value).__name__
            raise TypeError(f"expected {expected.__name__}, found {found}")
        return value

    return check


def _tuple_to_attrs(value: Any, attrs_class: type) -> Any:
    """Build an instance of an attrs class from its field values in order."""
    if not isinstance(value, list | tuple):
        raise TypeError(f"expected the fields of {attrs_class.__name__}")
    fields = attrs.fields(attrs_class)
    known = zip(fields, value, strict=False)
    return attrs_class(*(_CONVERTER.structure(one, field.type) for field, one in known))


def _make_converter() -> Converter:
    converter = Converter(
        unstruct_strat=UnstructureStrategy.AS_TUPLE, detailed_validation=False
    )
    for primitive in (int, str, bytes, bool, float):
        converter.register_structure_hook(primitive, _type_check_hook(primitive))
    # The hook for str would also match string enums and not check their values.
    converter.register_structure_hook(StrEnum, lambda value, kind: kind(value))
    converter.register_structure_hook_func(attrs.has, _tuple_to_attrs)
    return converter


_CONVERTER = _make_converter()
_KINDS_BY_CLASS = {
    message_class: kind for kind, message_class in message_kinds().items()
}


def encode_message(message: PeerMessage) -> bytes:
    """Return a message encoded in msgpack.

    Raises
    ------
    MessageRejected
        If the class is not registered, a number exceeds 64 bits, or the
        encoded message exceeds `MAX_MESSAGE_BYTES`.
    """
    kind = _KINDS_BY_CLASS.get(type(message))
    if kind is None:
        raise MessageRejected(type(message).__name__, "the class is not registered")
    fields = _CONVERTER.unstructure(message)
    try:
        packed = msgpack.packb([PROTOCOL_VERSION, kind, fields], use_bin_type=True)
    except (OverflowError, ValueError, TypeError) as error:
        raise MessageRejected(kind, f"not encodable: {error!s:.200}") from error
    if len(packed) > MAX_MESSAGE_BYTES:
        raise MessageRejected(kind, f"{len(packed)} bytes, above {MAX_MESSAGE_BYTES}")
    return packed


def decode_message(envelope: object) -> PeerMessage:
    """Return the message in an envelope that msgpack has unpacked.

    Raises
    ------
    MessageRejected
        If the envelope is malformed, the version or kind is unknown, or a field
        has the wrong type.
    """
    if not isinstance(envelope, list | tuple) or len(envelope) != 3:
        raise MessageRejected("envelope", "not an array of version, kind and fields")
    version, kind, fields = envelope
    if version != PROTOCOL_VERSION:
        raise MessageRejected("version", f"{version!r:.40}, not {PROTOCOL_VERSION}")
    message_class = message_kinds().get(kind) if isinstance(kind, str) else None
    if message_class is None:
        raise MessageRejected("kind", f"{kind!r:.40} is not known")
    try:
        return _CONVERTER.structure(fields, message_class)
    except Exception as error:
        # The converter raises many exception types, all due to malformed fields.
        raise MessageRejected(kind, f"malformed fields: {error!s:.200}") from error


class MessageStream:
    """Decodes the bytes of one stream into messages.

    Parameters
    ----------
    max_message_bytes : int
        Limit of the buffer. Nothing more can be decoded from a stream that
        exceeds it or is not msgpack: `broken` is set, and the reader has to
        close the stream.
    """

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False, strict_map_key=False, max_buffer_size=max_message_bytes
        )
        self._broken = False

    @property
    def broken(self) -> bool:
        """Whether message boundaries are lost, so that the stream has to be closed."""
        return self._broken

    def feed(self, chunk: bytes) -> list[PeerMessage | MessageRejected]:
        """Return the messages that are complete after the next bytes.

        A message that is malformed or of an unknown version or kind is replaced
        by an error, and decoding continues with the next message.
        """
        found: list[PeerMessage | MessageRejected] = []
        try:
            self._unpacker.feed(chunk)
            for envelope in self._unpacker:
                found.append(self._decode(envelope))
        except Exception as error:
            # msgpack raises ValueError, BufferFull, StackError and other types.
            self._broken = True
            found.append(MessageRejected("stream", f"not readable: {error!s:.200}"))
        return found

    def end(self) -> MessageRejected | None:
        """Return an error if the stream has ended within a message."""
        try:
            self._unpacker.skip()
        except msgpack.OutOfData:
            return self._truncation()
        except Exception as error:
            return MessageRejected("stream", f"not readable: {error!s:.200}")
        return None

    def _truncation(self) -> MessageRejected | None:
        if self._unpacker.read_bytes(1):
            return MessageRejected("stream", "ended inside a message")
        return None

    @staticmethod
    def _decode(envelope: object) -> PeerMessage | MessageRejected:
        try:
            return decode_message(envelope)
        except MessageRejected as error:
            return error
