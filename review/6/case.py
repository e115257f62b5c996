"""A scheduler is killed while a runner that works for it is not registered."""

import asyncio
import signal
import sys
from pathlib import Path

from rig import HEARTBEAT_MS, Deployment, call, job, now_ms, overlaps, run_case

RUNNERS = 6
"""One of six is cut off: a share of 0.17."""
ROUNDS = 5
CUT_MS = 5_000
"""How long the runner does not reach the store: the length that `kinds` names."""
SUBMIT_AFTER_MS = 2_700
"""From the beginning of the cut to the job, while the entry is still there."""
KILL_AFTER_MS = CUT_MS + 800
"""From the beginning of the cut to the kill. The runner's first heartbeat after the cut
is due at `CUT_MS` + 1,050."""
TASK_MS = 4_500
"""A task that takes several seconds: it ends 1,400 ms after the kill."""
TIMEOUT_MS = 15_000


async def play(deployment: Deployment, with_trouble: bool) -> bool:
    """Play the rounds; return whether no task had two runs at the same time."""
    await deployment.start(RUNNERS, slack_factor=1.6, timeout_ms=TIMEOUT_MS)
    await asyncio.sleep(3)
    for number in range(ROUNDS if with_trouble else 2):
        await play_round(deployment, number, with_trouble)
        found = overlaps(deployment.runners)
        for one, other in found:
            shared_ms = min(one[3], other[3]) - max(one[2], other[2])
            deployment.record.write(
                f"TWICE: {one[0]} run {one[1]} on {one[4]} and run {other[1]} on "
                f"{other[4]}, both at work for {shared_ms} ms"
            )
        if found:
            return False
    return True


async def play_round(deployment: Deployment, number: int, with_trouble: bool) -> None:
    """Cut a runner off from the store, give it a task, and kill the scheduler."""
    record = deployment.record
    leader = deployment.leader()
    gateway = deployment.others()[0]
    # Of several idle runners the scheduler takes the same for each job.
    path = f"/q1/{number:08x}{0:08x}"
    await call(record, gateway, "POST", path, job(60, 60), TIMEOUT_MS)
    worker = max(deployment.runners, key=lambda one: one.last_start_at)
    # The cut begins just before a heartbeat of the runner is due, so that the entry is
    # removed 3,050 ms later, after three heartbeat intervals of silence.
    wait_ms = worker.next_beat_at - now_ms() - 50
    await asyncio.sleep((wait_ms if wait_ms > 0 else wait_ms + HEARTBEAT_MS) / 1_000)
    began_at = now_ms()
    if with_trouble:
        record.write(f"{worker.name} does not reach the store")
        worker.reaches_store = False
    await _sleep_until(began_at + SUBMIT_AFTER_MS)
    body = job(TASK_MS, TASK_MS)
    path = f"/q1/{number:08x}{1:08x}"
    request = asyncio.create_task(call(record, gateway, "POST", path, body, TIMEOUT_MS))
    await _sleep_until(began_at + CUT_MS)
    if with_trouble:
        record.write(f"{worker.name} reaches the store again")
        worker.reaches_store = True
    await _sleep_until(began_at + KILL_AFTER_MS)
    if with_trouble:
        record.write(f"SIGKILL to {leader.name}, the scheduler")
        leader.signal(signal.SIGKILL)
        await asyncio.sleep(1)
        leader.end()
        leader.start()
        await deployment.wait_until_ready(leader)
    await request
    await asyncio.sleep(2)


async def _sleep_until(at_ms: int) -> None:
    await asyncio.sleep(max(0, at_ms - now_ms()) / 1_000)


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
