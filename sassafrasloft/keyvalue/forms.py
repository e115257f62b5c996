"""HTTP encoding of each call and reply; see docs/platform-interface.md.

A registry maps each class of calls to a codec, which encodes the request and decodes
the response body by its status.
"""

from collections.abc import Callable
from urllib.parse import quote

import attrs
from cattrs import Converter

from sassafrasloft.messages import (
    GrantLease,
    InstanceList,
    KeyValue,
    LeaseState,
    ListInstances,
    PlatformCall,
    PlatformReply,
    ReadKey,
    RenewLease,
    WatchKey,
    WriteConflict,
    WriteKey,
    Written,
)

_CONVERTER = Converter()
for _type in (str, int, bool):
    # By default, cattrs coerces values, e.g. 7 to "7" and "no" to True.
    _CONVERTER.register_structure_hook(
        _type, lambda value, expected_type: _require_exact_type(value, expected_type)
    )


def _require_exact_type(value: object, expected_type: type) -> object:
    if type(value) is not expected_type:
        raise TypeError(f"{value!r} is not of type {expected_type.__name__}")
    return value


@attrs.frozen
class PlatformRequest:
    """An HTTP request to the platform.

    Parameters
    ----------
    body : dict or None
        Sent as JSON. None sends no body.
    expected_revision : int
        Sent as the `If-Match` header. -1 omits the header.
    """

    method: str
    path: str
    body: dict[str, object] | None = None
    expected_revision: int = -1


@attrs.frozen
class CallCodec:
    """Encodes one class of calls and decodes the replies to it.

    Parameters
    ----------
    encode_request : callable
        Returns the HTTP request of a call.
    reply_types : dict of int to type
        The class of the reply for each expected HTTP status.
    """

    encode_request: Callable[[PlatformCall], PlatformRequest]
    reply_types: dict[int, type[PlatformReply]]

    def decode_reply(self, status: int, body: object) -> PlatformReply | None:
        """Return the reply, or None if the status is not an expected one.

        Raises
        ------
        Exception
            Of several classes, if the body does not match the fields of the reply.
        """
        reply = self.reply_types.get(status)
        return None if reply is None else _CONVERTER.structure(body, reply)


_CODECS: dict[type[PlatformCall], CallCodec] = {}


def register_codec(
    call: type[PlatformCall], reply_types: dict[int, type[PlatformReply]]
) -> Callable[[Callable], Callable]:
    """Return a decorator that registers the request encoder of a class of calls."""

    def register(encode: Callable) -> Callable:
        _CODECS[call] = CallCodec(encode, reply_types)
        return encode

    return register


def codec_for(call: PlatformCall) -> CallCodec:
    """Return the registered codec of a call."""
    return _CODECS[type(call)]


def _key_path(key: str) -> str:
    return "/v1/keys/" + quote(key, safe="/")


@register_codec(ReadKey, {200: KeyValue, 404: KeyValue})
def _encode_read_key(call: ReadKey) -> PlatformRequest:
    return PlatformRequest("GET", _key_path(call.key))


@register_codec(WatchKey, {200: KeyValue, 404: KeyValue})
def _encode_watch_key(call: WatchKey) -> PlatformRequest:
    query = f"?watch_after={call.after_revision}&wait_ms={call.wait_ms}"
    return PlatformRequest("GET", _key_path(call.key) + query)


@register_codec(WriteKey, {200: Written, 412: WriteConflict})
def _encode_write_key(call: WriteKey) -> PlatformRequest:
    body = {"value": call.value, "lease_id": call.lease_id}
    return PlatformRequest("PUT", _key_path(call.key), body, call.expected_revision)


@register_codec(GrantLease, {200: LeaseState})
def _encode_grant_lease(call: GrantLease) -> PlatformRequest:
    return PlatformRequest("POST", "/v1/leases", attrs.asdict(call))


@register_codec(RenewLease, {200: LeaseState, 404: LeaseState})
def _encode_renew_lease(call: RenewLease) -> PlatformRequest:
    path = "/v1/leases/" + quote(call.lease_id, safe="")
    return PlatformRequest("PUT", path, {"leaving": call.leaving})


@register_codec(ListInstances, {200: InstanceList})
def _encode_list_instances(call: ListInstances) -> PlatformRequest:
    return PlatformRequest("GET", "/v1/instances")
