"""Timers and other instances' messages while many events of connections are ready."""

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
from sassafrasloft.instance.messages import Heartbeat, QueryQueue, encode_message
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


class WorkCore:
    """A core in which each message takes 1 ms and timers are set again."""

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

    def times_of(self, wanted):
        return [at for at, event in self.steps if wanted(event)]


class WorkLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is that of the work that was done, not real time."""

    def __init__(self, clock):
        super().__init__()
        self._work_clock = clock

    def time(self):
        return self._work_clock.now() / 1_000


class SlowStore:
    """A store whose replies come after a time of the loop."""

    def call(self, operation, timeout_ms, done):
        asyncio.get_running_loop().call_later(0.02, done, LeaseGranted(1, 2_000))


def run_under_work(scenario, periods):
    """Run a scenario with a process whose messages take 1 ms each."""
    clock = ManualClock(1_000)
    core = WorkCore(clock, periods)

    async def main():
        log = LogOutput(os.open(os.devnull, os.O_WRONLY), clock, {})
        process = InstanceProcess(core, clock, log, SlowStore(), None, None, None)
        await process._streams.listen(HOST, 0)
        for name, period in periods.items():
            process._timers.set(name, clock.now() + period)
        port = process._streams._server.sockets[0].getsockname()[1]
        await scenario(process, port)

    with asyncio.Runner(loop_factory=lambda: WorkLoop(clock)) as runner:
        runner.run(main())
    return core


async def hand_in(port, data):
    """Write to a new stream."""
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    return writer


async def until(condition):
    while not condition():
        await asyncio.sleep(0)


def longest_gap(times):
    return max(later - earlier for earlier, later in pairwise(times))


@pytest.mark.parametrize("streams", [1, STREAMS])
@pytest.mark.parametrize("name", [HEARTBEAT_TIMER, LEASE_RENEWAL_TIMER])
def test_beats_and_renewals_are_on_time_although_1000_messages_are_ready(streams, name):
    """Guards against a scheduler that is taken for dead while it is busy.

    Four beats have to fit into the silence after which followers look for another
    scheduler, and timers waited for all messages that had arrived.
    """
    share = encode_message(QueryQueue("a")) * (MESSAGES // streams)

    async def scenario(process, port):
        core = process._core
        writers = [await hand_in(port, share) for _ in range(streams)]
        await until(lambda: core.messages == MESSAGES)
        for one in writers:
            one.close()

    core = run_under_work(scenario, {name: TUNING.beat_ms})
    fired = core.times_of(lambda event: isinstance(event, TimerFired))
    assert len(fired) >= 8
    assert longest_gap(fired) <= TUNING.silence_ms / 4


def test_beats_of_others_and_the_store_pass_messages_that_wait():
    """Guards against followers and rights that are lost in a queue of work."""
    work = encode_message(QueryQueue("a")) * MESSAGES
    sent_at = []

    def is_beat(event):
        return isinstance(event, MessageReceived) and event.message == Heartbeat()

    def is_reply(event):
        return isinstance(event, StoreReplied)

    async def scenario(process, port):
        core = process._core
        working = await hand_in(port, encode_message(Heartbeat()))
        beating = await hand_in(port, encode_message(Heartbeat()))
        await until(lambda: len(core.steps) == 2)
        sent_at.append(process._clock.now())
        process._call_store(CallStore(1, GrantLease(2_000), 400))
        working.write(work)
        beating.write(encode_message(Heartbeat()))
        await until(lambda: core.messages == MESSAGES)
        await until(lambda: core.times_of(is_reply))
        beating.close()
        working.close()

    core = run_under_work(scenario, {})

    _, _, beat = core.times_of(is_beat)
    (reply,) = core.times_of(is_reply)
    assert beat - sent_at[0] <= TUNING.beat_ms
    assert reply - sent_at[0] <= TUNING.beat_ms


@pytest.mark.parametrize("close_after", [1, 50])
def test_messages_that_wait_are_dropped_when_the_core_closes_their_stream(close_after):
    """Guards against jobs that are taken from a follower which was given up."""
    work = encode_message(QueryQueue("a")) * MESSAGES

    async def scenario(process, port):
        process._core.close_after = close_after
        writer = await hand_in(port, work)
        await until(lambda: process._core.messages)
        await until(lambda: not process._streams._streams)
        for _ in range(50):
            await asyncio.sleep(0)
        writer.close()

    core = run_under_work(scenario, {})
    assert core.messages == close_after
