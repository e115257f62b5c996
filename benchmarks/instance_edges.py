"""Processor time of the edges of an instance, part by part, on one core.

Usage: python -m benchmarks.instance_edges [--only=NAME] [--profile] [--output=FILE]

The stand-ins of the store and the runners, and the callers, are in another process,
whose time is not counted. The least time counts, of many short runs of a part and of
three runs of the whole.
"""

import asyncio
import json
import os
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from cProfile import Profile
from pathlib import Path
from pstats import Stats
from random import Random
from time import process_time_ns

import attrs
from absl import app, flags

ROOT = Path(__file__).parents[1]
sys.path.insert(1, str(ROOT / "platform"))

from adapter.caller_forms import PlatformCallerCodec  # noqa: E402
from adapter.documents import PlatformDocuments  # noqa: E402
from adapter.runner_client import RunnerClient  # noqa: E402
from adapter.store_client import StoreClient  # noqa: E402

from benchmarks.edge_servers import JOBS, TASKS_PER_JOB  # noqa: E402
from sassafrasloft.blackboard import Event  # noqa: E402
from sassafrasloft.clock import BootClock, Milliseconds  # noqa: E402
from sassafrasloft.event_loop.log_output import LogOutput  # noqa: E402
from sassafrasloft.event_loop.process import InstanceProcess  # noqa: E402
from sassafrasloft.event_loop.streams import MessageStreams  # noqa: E402
from sassafrasloft.event_loop.timers import LoopTimers  # noqa: E402
from sassafrasloft.instance.assembly import create_instance  # noqa: E402
from sassafrasloft.instance.message_codec import Message  # noqa: E402
from sassafrasloft.instance.messages import Heartbeat, JobAnswer, SubmitJob  # noqa: E402
from sassafrasloft.instance.settings import InstanceSettings  # noqa: E402
from sassafrasloft.runs import CommandOutcome, PollRuns, RunnerCommand, StartRun  # noqa: E402
from sassafrasloft.workload import JobRequest, Resources, StepRequest  # noqa: E402

_ONLY = flags.DEFINE_string("only", None, "Measure this case alone.")
_PROFILE = flags.DEFINE_bool("profile", False, "Print where the time is spent.")
_OUTPUT = flags.DEFINE_string("output", None, "Write the figures to this file.")

REPEATS = 3
BLOCKS = 40
"""Of each case; the machine's other load falls on some of them."""
PROFILE_LINES = 30
CALLS = 240
CALLS_AT_ONCE = 12
"""Over 3 runners with 6 connections each: no call waits for a connection."""
MESSAGES = 400
MESSAGES_AT_ONCE = 20
LINES = 500
TIMERS = 300
TIMEOUT_MS: Milliseconds = 1_000

Prepare = Callable[["Servers"], Awaitable[Callable[[], Awaitable[int]]]]
CASES: dict[str, Prepare] = {}


def register_case(name: str) -> Callable[[Prepare], Prepare]:
    """Return a decorator that enters a case: it prepares, and returns what to time.

    What is timed returns the number of units that it has done.
    """

    def enter(prepare: Prepare) -> Prepare:
        CASES[name] = prepare
        return prepare

    return enter


@attrs.frozen
class Servers:
    """The other process and the addresses of its servers."""

    process: subprocess.Popen
    store: str
    runners: tuple[str, ...]

    @classmethod
    def start(cls) -> "Servers":
        """Start the other process."""
        process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.edge_servers"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT,
        )
        addresses = json.loads(process.stdout.readline())
        return cls(process, addresses["store"], tuple(addresses["runners"]))

    async def submit_jobs(self, address: str) -> dict[str, int]:
        """Have jobs submitted to an instance; return the answers by status."""
        self.process.stdin.write(f"{address}\n")
        self.process.stdin.flush()
        line = await asyncio.to_thread(self.process.stdout.readline)
        return json.loads(line)

    def stop(self) -> None:
        """End the other process."""
        self.process.stdin.close()
        self.process.wait(timeout=10)


async def _call_runners(
    servers: Servers, client: RunnerClient, order: Callable[[int], RunnerCommand]
) -> int:
    """Make calls, a few at a time, to the first three runners."""
    loop = asyncio.get_running_loop()
    outcomes: dict[str, int] = {}
    for first in range(0, CALLS, CALLS_AT_ONCE):
        replies = []
        for number in range(first, first + CALLS_AT_ONCE):
            runner = number % 3
            reply = loop.create_future()
            replies.append(reply)
            client.call(
                f"i-{runner}",
                servers.runners[runner],
                order(number),
                TIMEOUT_MS,
                reply.set_result,
            )
        for reply in replies:
            outcome = (await reply).outcome
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
    # Most starts find no room: they cost the instance the same.
    if set(outcomes) - {CommandOutcome.DONE, CommandOutcome.NO_ROOM}:
        raise RuntimeError(f"calls failed: {outcomes}")
    return sum(outcomes.values())


@register_case("runner_start")
async def _runner_start(servers: Servers):
    client, tasks = RunnerClient(), iter(range(1, 1 << 30))

    def order(_: int) -> StartRun:
        name = f"{os.getpid():016x}.0.0.{next(tasks)}"
        return StartRun(7, name, 1, "x" * 60, 1 << 50)

    return lambda: _call_runners(servers, client, order)


@register_case("runner_look")
async def _runner_look(servers: Servers):
    client = RunnerClient()
    return lambda: _call_runners(
        servers, client, lambda _: PollRuns(7, 1 << 50, 1 << 40, 0)
    )


async def _stream_pair(take: Callable[[Event], None]) -> MessageStreams:
    """Return one end, whose stream 1 leads to an end that drops all messages."""
    accepting = MessageStreams(take)
    await accepting.listen("127.0.0.1", 0)
    port = accepting._server.sockets[0].getsockname()[1]
    opened = asyncio.Event()
    opening = MessageStreams(lambda event: opened.set())
    opening.open(1, f"127.0.0.1:{port}", TIMEOUT_MS)
    await opened.wait()
    return opening


def _messages_case(message: Message) -> Prepare:
    async def prepare(_: Servers):
        received = 0

        def take(event: Event) -> None:
            nonlocal received
            received += 1

        streams = await _stream_pair(take)

        async def pass_messages() -> int:
            nonlocal received
            received = 0
            for first in range(0, MESSAGES, MESSAGES_AT_ONCE):
                for _ in range(MESSAGES_AT_ONCE):
                    streams.send(1, message)
                while received < first + MESSAGES_AT_ONCE:
                    await asyncio.sleep(0)
            return MESSAGES

        return pass_messages

    return prepare


_STEP = StepRequest(TASKS_PER_JOB, Resources(4_000, 64, 0), 60)
_JOB = JobRequest(
    "5c0e7a21d94b36f8", "x" * 60, (_STEP, attrs.evolve(_STEP, after=(0,)))
)
register_case("message_submit")(
    _messages_case(SubmitJob(_JOB, "lookup", 12, 1_400, False))
)
register_case("message_answer")(
    _messages_case(JobAnswer(_JOB.job_id, "completed", "all tasks are done"))
)
register_case("message_beat")(_messages_case(Heartbeat()))


def _log_case(line_bound_reached: bool) -> Prepare:
    async def prepare(_: Servers):
        descriptor = os.open(os.devnull, os.O_WRONLY)
        fields = (("job", _JOB.job_id), ("route", "lookup"), ("waited_ms", 72))

        async def write_lines() -> int:
            log = LogOutput(descriptor, BootClock(), {"instance": "edge-1"})
            if not line_bound_reached:
                log._admit = lambda important: True
            for _ in range(LINES):
                log.write("INFO", "request_answered", fields)
            return LINES

        return write_lines

    return prepare


register_case("log_line_written")(_log_case(False))
register_case("log_line_dropped")(_log_case(True))


@register_case("timer")
async def _timer(_: Servers):
    loop, fired = asyncio.get_running_loop(), []
    clock = BootClock()
    timers = LoopTimers(loop, clock, fired.append)

    async def set_and_fire() -> int:
        fired.clear()
        for number in range(TIMERS):
            # Each timer is set again before it is due, as that of waiting jobs is.
            timers.set(f"timer-{number % 50}", clock.now() + 50)
            timers.set(f"timer-{number % 50}", clock.now())
            if number % 50 == 49:
                while len(fired) < number + 1:
                    await asyncio.sleep(0)
        return TIMERS

    return set_and_fire


def _free_addresses(count: int) -> list[str]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return [f"127.0.0.1:{port}" for port in ports]


async def _measure_jobs(servers: Servers, repeat: int) -> float:
    """Return the microseconds of processor time of a task, for jobs on one instance."""
    addresses = _free_addresses(3)
    settings = InstanceSettings("one", "north", *addresses, "", servers.store)
    core = create_instance(settings, PlatformDocuments(), Random(repeat))
    clock = BootClock()
    log = LogOutput(os.open(os.devnull, os.O_WRONLY), clock, {"instance": "one"})
    process = InstanceProcess(
        core,
        clock,
        log,
        StoreClient(servers.store),
        RunnerClient(),
        PlatformCallerCodec(),
        lambda: settings,
    )
    running = asyncio.ensure_future(process.run())
    while not process.ready:
        if running.done():
            await running
        await asyncio.sleep(0.01)
    await asyncio.sleep(1)
    begin = process_time_ns()
    answers = await servers.submit_jobs(addresses[0])
    spent = process_time_ns() - begin
    process._stop()
    await running
    if answers != {"200": JOBS}:
        print(f"answers by status: {answers}", file=sys.stderr)
    return spent / (JOBS * TASKS_PER_JOB) / 1_000


async def _measure_case(name: str, servers: Servers, profile: Profile | None) -> float:
    """Return the microseconds of processor time of one unit."""
    run = await CASES[name](servers)
    await run()
    least = float("inf")
    for _ in range(BLOCKS):
        begin = process_time_ns()
        units = await run()
        least = min(least, (process_time_ns() - begin) / units / 1_000)
    if profile is not None:
        with profile:
            for _ in range(BLOCKS // 4):
                await run()
    return least


def _show(name: str, profile: Profile) -> None:
    print(f"--- {name}")
    Stats(profile).strip_dirs().sort_stats("tottime").print_stats(PROFILE_LINES)


def _measure_all(servers: Servers) -> dict[str, float]:
    figures: dict[str, float] = {}
    for name in CASES:
        if _ONLY.value in (None, name):
            profile = Profile() if _PROFILE.value else None
            figures[name] = asyncio.run(_measure_case(name, servers, profile))
            print(f"{name:18} {figures[name]:8.1f} us", flush=True)
            if profile is not None:
                _show(name, profile)
    if _ONLY.value in (None, "task"):
        figures["task"] = _measure_whole(servers)
    return figures


def _measure_whole(servers: Servers) -> float:
    """Return the time of a task in the whole process: the edges and the core."""
    if _PROFILE.value:
        with Profile() as profile:
            asyncio.run(_measure_jobs(servers, 0))
        _show("task", profile)
    repeats = range(1, REPEATS + 1)
    least = min(asyncio.run(_measure_jobs(servers, repeat)) for repeat in repeats)
    print(f"{'task':18} {least:8.1f} us", flush=True)
    return least


def main(_: list[str]) -> int:
    """Measure all cases, or one."""
    servers = Servers.start()
    try:
        figures = _measure_all(servers)
    finally:
        servers.stop()
    if _OUTPUT.value:
        rounded = {name: round(figure, 1) for name, figure in figures.items()}
        Path(_OUTPUT.value).write_text(json.dumps(rounded, indent=2) + "\n")
    return 0


if __name__ == "__main__":
    app.run(main)
