"""The stand-in platform behind HTTP; docs/platform-interface.md is its form."""

import secrets
import threading
from typing import Any

import attrs
from cattrs import Converter
from cattrs.errors import BaseValidationError

from sassafrasloft.clock import Clock, Milliseconds
from sassafrasloft.errors import MalformedInput, PlatformUnavailable
from sassafrasloft.listeners import (
    JsonApplication,
    JsonReply,
    JsonRequest,
    error_reply,
    route,
)
from sassafrasloft.messages.platform_calls import (
    KeyValue,
    ListedInstance,
    WriteConflict,
    Written,
)
from sassafrasloft.standins.platform import (
    MAX_VALUE_BYTES,
    PlatformFaults,
    PlatformLimits,
    PlatformLogic,
)

MAX_WATCH_MS = 60_000

LOST_HOLD_MS = 10_000
"""How long a lost answer is withheld before its connection gets a 503."""

WAIT_SLICE_S = 0.5
"""How often a waiting watch looks whether its client is gone or a lease lapsed."""

_CONVERTER = Converter()


@attrs.frozen
class LeaseRequest:
    """The body of a request for a lease."""

    instance: str
    incarnation: str
    zone: str
    ttl_ms: Milliseconds


class PlatformApplication(JsonApplication):
    """The platform's HTTP interface.

    Parameters
    ----------
    limits : PlatformLimits
        Rates and lags.
    clock : Clock
        The time.
    """

    def __init__(self, limits: PlatformLimits, clock: Clock) -> None:
        super().__init__()
        self.logic = PlatformLogic(limits)
        self._clock = clock
        self._changed = threading.Condition()
        self._stopped = threading.Event()

    def stop(self) -> None:
        """Release all waiting calls."""
        self._stopped.set()
        with self._changed:
            self._changed.notify_all()

    @route("GET", "/v1/keys/<key:rest>")
    def read(self, request: JsonRequest) -> JsonReply:
        """Read a key, or wait for a newer revision of it."""
        watch = "watch_after=" in request.environ.get("QUERY_STRING", "")
        refused = self._admit("watch" if watch else "read")
        if refused:
            return refused
        key = request.parts["key"]
        if watch:
            return _key_reply(self._watch(request, key))
        with self._changed:
            return _key_reply(self.logic.read(key))

    @route("PUT", "/v1/keys/<key:rest>")
    def write(self, request: JsonRequest) -> JsonReply:
        """Write a key."""
        refused = self._admit("write")
        if refused:
            return refused
        body = request.json()
        if not isinstance(body, dict) or not isinstance(body.get("value"), str):
            raise MalformedInput("value", "missing or not a text")
        if len(body["value"].encode()) > MAX_VALUE_BYTES:
            return error_reply(413, MalformedInput("value", "larger than 1 MB"))
        revision, lease_id = _expected_revision(request), str(body.get("lease_id", ""))
        with self._changed:
            if lease_id and not self.logic.holds_lease(lease_id):
                raise MalformedInput("lease_id", "the lease is not held")
            key = request.parts["key"]
            outcome = self.logic.write(key, body["value"], revision, lease_id)
            self._changed.notify_all()
        return self._write_reply(request, outcome)

    @route("DELETE", "/v1/keys/<key:rest>")
    def delete(self, request: JsonRequest) -> JsonReply:
        """Delete a key."""
        refused = self._admit("delete")
        if refused:
            return refused
        with self._changed:
            revision = _expected_revision(request)
            outcome = self.logic.delete(request.parts["key"], revision)
            self._changed.notify_all()
        return self._write_reply(request, outcome)

    @route("POST", "/v1/leases")
    def grant(self, request: JsonRequest) -> JsonReply:
        """Grant a lease."""
        refused = self._admit("grant")
        if refused:
            return refused
        asked = _structure(request.json(), LeaseRequest)
        with self._changed:
            state = self.logic.grant(
                secrets.token_hex(8),
                asked.instance,
                asked.incarnation,
                asked.zone,
                asked.ttl_ms,
                self._clock.now(),
            )
        return JsonReply(body=attrs.asdict(state))

    @route("PUT", "/v1/leases/<lease_id>")
    def renew(self, request: JsonRequest) -> JsonReply:
        """Renew a lease."""
        refused = self._admit("renew")
        if refused:
            return refused
        body = request.json()
        leaving = bool(body.get("leaving")) if isinstance(body, dict) else False
        with self._changed:
            lease_id = request.parts["lease_id"]
            state = self.logic.renew(lease_id, leaving, self._clock.now())
        return JsonReply(200 if state.held else 404, attrs.asdict(state))

    @route("GET", "/v1/instances")
    def instances(self, _: JsonRequest) -> JsonReply:
        """Return the list of instances."""
        refused = self._admit("list")
        if refused:
            return refused
        with self._changed:
            entries = self.logic.instances(self._clock.now())
        return JsonReply(body={"entries": [attrs.asdict(one) for one in entries]})

    @route("POST", "/v1/control")
    def control(self, request: JsonRequest) -> JsonReply:
        """Switch faults on or off and enter runners into the list."""
        body = request.json()
        if not isinstance(body, dict):
            raise MalformedInput("body", "not an object")
        entries = [_structure(one, ListedInstance) for one in body.pop("entries", [])]
        with self._changed:
            merged = {**attrs.asdict(self.logic.faults), **body}
            self.logic.faults = _structure(merged, PlatformFaults)
            for entry in entries:
                self.logic.enter(entry, self._clock.now())
            self._changed.notify_all()
            return JsonReply(body={"calls": dict(self.logic.calls)})

    def _admit(self, call: str) -> JsonReply | None:
        with self._changed:
            status = self.logic.admit(call, self._clock.now())
            slow_ms = self.logic.faults.slow_ms
        if slow_ms:
            self._stopped.wait(slow_ms / 1000)
        if status == 200:
            return None
        return JsonReply(status, {"error": "outage" if status == 503 else "rate"})

    def _watch(self, request: JsonRequest, key: str) -> KeyValue:
        after = request.query_integer("watch_after", 0)
        wait_ms = min(MAX_WATCH_MS, request.query_integer("wait_ms", 0))
        until = self._clock.now() + wait_ms
        with self._changed:
            while not self._stopped.is_set():
                now = self._clock.now()
                self.logic.expire(now)
                found = self.logic.read(key)
                if (
                    found.revision > after
                    or now >= until
                    or request.client_disconnected()
                ):
                    break
                self._changed.wait(min(WAIT_SLICE_S, (until - now) / 1000))
            return self.logic.read(key)

    def _write_reply(
        self, request: JsonRequest, outcome: Written | WriteConflict
    ) -> JsonReply:
        with self._changed:
            lost = isinstance(outcome, Written) and self.logic.faults.lose_writes > 0
            if lost:
                self.logic.faults.lose_writes -= 1
        if lost:
            self._withhold(request)
            return error_reply(503, PlatformUnavailable("write", "the answer is lost"))
        status = 200 if isinstance(outcome, Written) else 412
        return JsonReply(status, attrs.asdict(outcome))

    def _withhold(self, request: JsonRequest) -> None:
        until = self._clock.now() + LOST_HOLD_MS
        while self._clock.now() < until and not request.client_disconnected():
            if self._stopped.wait(WAIT_SLICE_S):
                return


def _key_reply(found: KeyValue) -> JsonReply:
    return JsonReply(200 if found.revision else 404, attrs.asdict(found))


def _expected_revision(request: JsonRequest) -> int:
    text = request.header("If-Match").strip('"')
    if not (text.isascii() and text.isdecimal()):
        raise MalformedInput("If-Match", f"{text!r:.40} is not a revision")
    return int(text)


def _structure(values: Any, attrs_class: type) -> Any:
    try:
        return _CONVERTER.structure(values, attrs_class)
    except (TypeError, ValueError, KeyError, BaseValidationError) as error:
        raise MalformedInput(attrs_class.__name__, f"{error!r:.120}") from error
