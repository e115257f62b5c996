"""Jobs that run on after their cancelling was acknowledged during a takeover.

No case: it takes more open jobs at one instance than a small deployment has. Run it in
this folder with ``PYTHONPATH=../../target/deps python3 cancelled_at_takeover.py``.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig.http import now  # noqa: E402
from rig.runner import Work  # noqa: E402
from rig.world import (  # noqa: E402
    CANCEL_S,
    World,
    configuration,
    job_id,
    play,
    route,
)

PREFIX = "/lohu930/"
JOBS = 100
TASK_S = 8.0
WAIT_MS = 15_000
STEP = {"count": 1, "cpu": 1_000, "memMb": 64, "estimateMs": 8_000}
STOP_S = 0.05


async def case(world: World) -> None:
    """Kill the instance that leads, and cancel all jobs of another one at a third."""
    routes = [route("r", PREFIX, "s", WAIT_MS)]
    await world.begin(configuration(7, routes, ["s"]), [("s", ["a"])])
    leader = world.leader()
    first, second = world.followers()[:2]
    jobs = [job_id() for _ in range(JOBS)]
    waiting = []
    for job in jobs:
        world.works[job] = Work(STEP["cpu"], TASK_S)
        waiting.append(
            asyncio.create_task(world.submit(first, PREFIX, job, WAIT_MS, STEP))
        )
    await asyncio.sleep(1.0)
    if world.trouble:
        leader.signal(signal.SIGKILL)

    async def cancel(job: str) -> tuple[str, int, float]:
        response = await world.cancel(second, PREFIX, job)
        return job, response.status, now()

    answers = await asyncio.gather(*map(cancel, reversed(jobs)))
    await asyncio.sleep(TASK_S - 1.0)
    for job, status, acknowledged_at in answers:
        latest = acknowledged_at + CANCEL_S + STOP_S
        ran_on = [
            one for one in world.ends if one[1].startswith(job) and one[0] > latest
        ]
        if world.running(job) or ran_on:
            world.break_rule(f"{job} ran on after its cancelling got {status}")
    for one in waiting:
        one.cancel()


if __name__ == "__main__":
    sys.exit(play(World(FOLDER), case))
