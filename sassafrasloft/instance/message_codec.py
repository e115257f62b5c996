"""The form of messages between instances, and the registry of their kinds.

On the stream a message is the msgpack array ``[kind, *fields]``.
"""

from collections.abc import Callable
from typing import TypeVar

import attrs
import msgpack

from sassafrasloft.workload import from_positional, to_positional

_KINDS: dict[str, type["Message"]] = {}
_NAMES: dict[type["Message"], str] = {}
# Reused, since each new packer allocates a buffer of 256 KB.
_PACKER = msgpack.Packer()
MessageClass = TypeVar("MessageClass", bound=type["Message"])

MAX_MESSAGE_BYTES = 4_000_000
"""Large enough for a job of 256 KiB and for a handover of 2,000 jobs."""


class MessageMalformed(ValueError):
    """A message has an unknown kind or invalid fields; its stream is closed."""


@attrs.frozen
class Message:
    """Base class of messages between instances."""


def register_message(kind: str) -> Callable[[MessageClass], MessageClass]:
    """Return a decorator that registers a message class under its kind."""

    def enter(message_class: MessageClass) -> MessageClass:
        if kind in _KINDS:
            raise ValueError(f"message kind {kind!r} is registered twice")
        _KINDS[kind] = message_class
        _NAMES[message_class] = kind
        return message_class

    return enter


def encode_message(message: Message) -> bytes:
    """Return the bytes of a message."""
    return _PACKER.pack([_NAMES[type(message)], *to_positional(message)])


def decode_message(value: object) -> Message:
    """Return the message of an unpacked array.

    Raises
    ------
    MessageMalformed
        If the kind is unknown or a field has another type.
    """
    is_array = isinstance(value, list) and value and isinstance(value[0], str)
    if not is_array or value[0] not in _KINDS:
        raise MessageMalformed(
            "the message is not an array that begins with a known kind"
        )
    try:
        return from_positional(_KINDS[value[0]], value[1:])
    except (TypeError, ValueError) as error:
        raise MessageMalformed(f"message {value[0]}: {error}") from error
