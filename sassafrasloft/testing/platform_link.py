"""Simulated connections between the instances and the platform."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs

from sassafrasloft.core import CallPlatform, PlatformReplied
from sassafrasloft.messages import (
    GrantLease,
    InstanceList,
    ListedInstance,
    ListInstances,
    PlatformReply,
    ReadKey,
    RenewLease,
    Unavailable,
    WatchKey,
    WriteKey,
)
from sassafrasloft.standins.platform import PlatformLimits, PlatformLogic

if TYPE_CHECKING:
    from sassafrasloft.testing.hosts import InstanceHost
    from sassafrasloft.testing.world import World

READ_LATENCY_MS = 1.0
WRITE_LATENCY_MS = 5.0
"""A write is synced to disk, which takes several milliseconds."""


@attrs.define(eq=False)
class _Watch:
    """A waiting watch call of an instance; no reply is sent if unresponsive."""

    host: InstanceHost
    call_id: str
    call: WatchKey
    unresponsive: bool = False


class PlatformLink:
    """Passes calls to the logic of the stand-in platform and returns the replies.

    Parameters
    ----------
    world : World
        Supplies the event queue and the settings.
    random : random.Random
        Draws lease ids.
    """

    def __init__(self, world: World, random: Random) -> None:
        self._world = world
        self._random = random
        self._watches: list[_Watch] = []
        self.logic = PlatformLogic(
            PlatformLimits(list_lag_ms=world.settings.platform.list_lag_ms)
        )
        for runner in world.settings.runners:
            self.set_runner_state(runner.name, runner.zone, "live")

    def set_runner_state(self, name: str, zone: str, state: str) -> None:
        """Set the state of a runner in the list, which shows it after a lag."""
        entry = ListedInstance(name, "runner", zone, "", state)
        self.logic.enter(entry, int(self._world.now))

    def make_watches_unresponsive(self) -> None:
        """Make all waiting watches unresponsive: they never get a reply."""
        for watch in self._watches:
            watch.unresponsive = True

    def call(self, host: InstanceHost, command: CallPlatform) -> None:
        """Handle a call of an instance and schedule the reply."""
        admitted = self.logic.admit(type(command.call).__name__, self._now)
        if admitted != 200:
            refusal = Unavailable(f"status {admitted}")
            self._reply(host, command.call_id, refusal, READ_LATENCY_MS)
            return
        call = command.call
        if isinstance(call, WatchKey):
            self._start_watch(host, command.call_id, call)
        elif isinstance(call, WriteKey):
            self._write(host, command.call_id, call)
        else:
            reply = self._handle_call(call)
            self._reply(host, command.call_id, reply, READ_LATENCY_MS)

    @property
    def _now(self) -> int:
        return int(self._world.now)

    def _handle_call(self, call: object) -> PlatformReply:
        if isinstance(call, ReadKey):
            return self.logic.read(call.key)
        if isinstance(call, GrantLease):
            lease_id = f"lease-{self._random.getrandbits(32):08x}"
            return self.logic.grant(
                lease_id,
                call.instance,
                call.incarnation,
                call.zone,
                call.ttl_ms,
                self._now,
            )
        if isinstance(call, RenewLease):
            return self.logic.renew(call.lease_id, call.leaving, self._now)
        if isinstance(call, ListInstances):
            return InstanceList(self.logic.instances(self._now))
        raise TypeError(f"unknown platform call {type(call).__name__}")

    def _write(self, host: InstanceHost, call_id: str, call: WriteKey) -> None:
        reply = self.write(call)
        if self.logic.faults.lose_writes > 0:
            self.logic.faults.lose_writes -= 1
            timeout_ms = self._world.settings.platform.call_timeout_ms
            self._reply(host, call_id, Unavailable("no answer"), timeout_ms)
        else:
            self._reply(host, call_id, reply, WRITE_LATENCY_MS)

    def write(self, call: WriteKey) -> PlatformReply:
        """Write a key and complete the watches on it."""
        reply = self.logic.write(
            call.key, call.value, call.expected_revision, call.lease_id
        )
        for watch in [one for one in self._watches if one.call.key == call.key]:
            if self.logic.read(call.key).revision > watch.call.after_revision:
                self._complete_watch(watch)
        return reply

    def _start_watch(self, host: InstanceHost, call_id: str, call: WatchKey) -> None:
        watch = _Watch(host, call_id, call)
        self._watches.append(watch)
        if self.logic.read(call.key).revision > call.after_revision:
            self._complete_watch(watch)
            return
        self._world.queue.after(call.wait_ms, lambda: self._complete_watch(watch))

    def _complete_watch(self, watch: _Watch) -> None:
        if watch not in self._watches:
            return
        self._watches.remove(watch)
        if not watch.unresponsive:
            reply = self.logic.read(watch.call.key)
            self._reply(watch.host, watch.call_id, reply, READ_LATENCY_MS)

    def _reply(
        self, host: InstanceHost, call_id: str, reply: PlatformReply, delay_ms: float
    ) -> None:
        event = PlatformReplied(call_id, reply)
        delay_ms += self.logic.faults.slow_ms
        self._world.queue.after(delay_ms, lambda: host.handle_event(event))
