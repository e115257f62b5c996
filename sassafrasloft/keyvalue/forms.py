"""The HTTP form of each call and reply; see docs/platform-interface.md.

Each call has a form in a registry: how to write the request, and how to read the
body of each status that is understood.
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
    # Without this, cattrs turns 7 into "7" and "no" into True.
    _CONVERTER.register_structure_hook(_type, lambda value, kind: _exactly(value, kind))


def _exactly(value: object, kind: type) -> object:
    if type(value) is not kind:
        raise TypeError(f"{value!r} is not of type {kind.__name__}")
    return value


@attrs.frozen
class HttpRequest:
    """One request to the platform.

    Parameters
    ----------
    body : dict or None
        Sent as JSON; no body if None.
    expected_revision : int
        For `If-Match`; no header if -1.
    """

    method: str
    path: str
    body: dict[str, object] | None = None
    expected_revision: int = -1


@attrs.frozen
class CallForm:
    """How a call is written, and the reply class by status."""

    write: Callable[[PlatformCall], HttpRequest]
    replies: dict[int, type[PlatformReply]]

    def read(self, status: int, body: object) -> PlatformReply | None:
        """Return the reply, or None if the status is not understood.

        Raises
        ------
        Exception
            Of several kinds, if the body does not have the form of the reply.
        """
        reply = self.replies.get(status)
        return None if reply is None else _CONVERTER.structure(body, reply)


_FORMS: dict[type[PlatformCall], CallForm] = {}


def register_form(
    call: type[PlatformCall], replies: dict[int, type[PlatformReply]]
) -> Callable[[Callable], Callable]:
    """Return a decorator that enters a function that writes the request."""

    def enter(write: Callable) -> Callable:
        _FORMS[call] = CallForm(write, replies)
        return write

    return enter


def form_of(call: PlatformCall) -> CallForm:
    """Return the form of a call."""
    return _FORMS[type(call)]


def _key_path(key: str) -> str:
    return "/v1/keys/" + quote(key, safe="/")


@register_form(ReadKey, {200: KeyValue, 404: KeyValue})
def _write_read_key(call: ReadKey) -> HttpRequest:
    return HttpRequest("GET", _key_path(call.key))


@register_form(WatchKey, {200: KeyValue, 404: KeyValue})
def _write_watch_key(call: WatchKey) -> HttpRequest:
    query = f"?watch_after={call.after_revision}&wait_ms={call.wait_ms}"
    return HttpRequest("GET", _key_path(call.key) + query)


@register_form(WriteKey, {200: Written, 412: WriteConflict})
def _write_write_key(call: WriteKey) -> HttpRequest:
    body = {"value": call.value, "lease_id": call.lease_id}
    return HttpRequest("PUT", _key_path(call.key), body, call.expected_revision)


@register_form(GrantLease, {200: LeaseState})
def _write_grant_lease(call: GrantLease) -> HttpRequest:
    return HttpRequest("POST", "/v1/leases", attrs.asdict(call))


@register_form(RenewLease, {200: LeaseState, 404: LeaseState})
def _write_renew_lease(call: RenewLease) -> HttpRequest:
    path = "/v1/leases/" + quote(call.lease_id, safe="")
    return HttpRequest("PUT", path, {"leaving": call.leaving})


@register_form(ListInstances, {200: InstanceList})
def _write_list_instances(call: ListInstances) -> HttpRequest:
    return HttpRequest("GET", "/v1/instances")
