"""Tests of timers and urgent messages while many other messages are ready."""

import asyncio
import os
from itertools import pairwise
from types import SimpleNamespace

import pytest

from sassafrasloft.blackboard import Event, SetTimer, TimerFired
from sassafrasloft.clock import ManualClock
from sassafrasloft.event_loop.log_output import LogOutput
from sassafrasloft.event_loop.process import InstanceProcess
from sassafrasloft.instance.commands import CallStore, CloseStream
from sassafrasloft.instance.events import MessageReceived, StoreReplied
from sassafrasloft.instance.message_codec import encode_message
from sassafrasloft.instance.messages import (
    Heartbeat,
    QueryQueue,
)
from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.leadership.role_controller import (
    HEARTBEAT_TIMER,
    LEASE_RENEWAL_TIMER,
)
from sassafrasloft.metadata import GrantLease, LeaseGranted

HOST = "127.0.0.1"
STEP_MS = 1
MESSAGES = 1_000
STREAMS = 10
TUNING = Tuning()


class SlowCore:
    """A core that spends 1 ms on each `QueryQueue` and sets fired timers again."""

    def __init__(self, clock, periods):
        self.board = SimpleNamespace(take_commands=list, settings=None)
        self._clock = clock
        self._periods = periods
        self.steps: list[tuple[int, Event]] = []
        self.messages = 0
        self.close_after = 0

    def step(self, event, now):
        self.steps.append((self._clock.now(), event))
        if isinstance(event, MessageReceived) and isinstance(event.message, QueryQueue):
            self.messages += 1
            self._clock.advance(STEP_MS)
            if self.messages == self.close_after:
                return [CloseStream(event.stream_id)]
        if isinstance(event, TimerFired):
            return [SetTimer(event.name, now + self._periods[event.name])]
        return []

    def event_times(self, wanted):
        return [at for at, event in self.steps if wanted(event)]


class ManualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is a manual clock, which handled messages advance."""

    def __init__(self, clock):
        super().__init__()
        self._work_clock = clock

    def time(self):
        return self._work_clock.now() / 1_000


class PlainCodec:
    """Callers send no requests here."""

    header_names = frozenset()


class DelayedStore:
    """A store that replies after 20 ms of loop time."""

    def call(self, operation, timeout_ms, done, transfer):
        asyncio.get_running_loop().call_later(0.02, done, LeaseGranted(1, 2_000))


def run_under_load(scenario, periods):
    """Run a scenario with a process that spends 1 ms on each `QueryQueue`."""
    clock = ManualClock(1_000)
    core = SlowCore(clock, periods)

    async def main():
        log = LogOutput(os.open(os.devnull, os.O_WRONLY), clock, {})
        process = InstanceProcess(
            core, clock, log, DelayedStore(), None, PlainCodec(), None
        )
        await process._streams.listen(HOST, 0)
        for name, period in periods.items():
            process._timers.set(name, clock.now() + period)
        port = process._streams._server.sockets[0].getsockname()[1]
        await scenario(process, port)

    with asyncio.Runner(loop_factory=lambda: ManualLoop(clock)) as runner:
        runner.run(main())
    return core


async def write_to_new_stream(port, data):
    """Open a stream, write data to it and return its writer."""
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    return writer


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0)


def max_gap(times):
    return max(later - earlier for earlier, later in pairwise(times))


@pytest.mark.parametrize("streams", [1, STREAMS])
@pytest.mark.parametrize("name", [HEARTBEAT_TIMER, LEASE_RENEWAL_TIMER])
def test_heartbeat_and_lease_renewal_timers_are_on_time_with_1000_messages_ready(
    streams, name
):
    """Guards against a busy scheduler that followers consider failed.

    The failure occurs when timers wait for all messages that have arrived. Four
    heartbeats must fit into the heartbeat timeout, after which followers start an
    election.
    """
    share = encode_message(QueryQueue("a")) * (MESSAGES // streams)

    async def scenario(process, port):
        core = process._core
        writers = [await write_to_new_stream(port, share) for _ in range(streams)]
        await wait_until(lambda: core.messages == MESSAGES)
        for one in writers:
            one.close()

    core = run_under_load(scenario, {name: TUNING.beat_ms})
    fired = core.event_times(lambda event: isinstance(event, TimerFired))
    assert len(fired) >= 8
    assert max_gap(fired) <= TUNING.silence_ms / 4


def test_peer_heartbeats_and_store_replies_overtake_queued_messages():
    """Guards against followers and leadership that are lost because of queued work."""
    work = encode_message(QueryQueue("a")) * MESSAGES
    sent_at = []

    def is_beat(event):
        return isinstance(event, MessageReceived) and event.message == Heartbeat()

    def is_reply(event):
        return isinstance(event, StoreReplied)

    async def scenario(process, port):
        core = process._core
        working = await write_to_new_stream(port, encode_message(Heartbeat()))
        beating = await write_to_new_stream(port, encode_message(Heartbeat()))
        await wait_until(lambda: len(core.steps) == 2)
        sent_at.append(process._clock.now())
        process._call_store(CallStore(1, GrantLease(2_000), 400))
        working.write(work)
        beating.write(encode_message(Heartbeat()))
        await wait_until(lambda: core.messages == MESSAGES)
        await wait_until(lambda: core.event_times(is_reply))
        beating.close()
        working.close()

    core = run_under_load(scenario, {})

    _, _, beat = core.event_times(is_beat)
    (reply,) = core.event_times(is_reply)
    assert beat - sent_at[0] <= TUNING.beat_ms
    assert reply - sent_at[0] <= TUNING.beat_ms


@pytest.mark.parametrize("close_after", [1, 50])
def test_queued_messages_are_dropped_when_the_core_closes_their_stream(close_after):
    """Guards against accepting jobs from a follower that the core has given up."""
    work = encode_message(QueryQueue("a")) * MESSAGES

    async def scenario(process, port):
        process._core.close_after = close_after
        writer = await write_to_new_stream(port, work)
        await wait_until(lambda: process._core.messages)
        await wait_until(lambda: not process._streams._streams)
        for _ in range(50):
            await asyncio.sleep(0)
        writer.close()

    core = run_under_load(scenario, {})
    assert core.messages == close_after
