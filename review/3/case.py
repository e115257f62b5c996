"""A running job is answered 404 when its route goes and the scheduler is restarted."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig.runner import Work  # noqa: E402
from rig.world import World, configuration, job_id, play, route  # noqa: E402

PREFIXES = ["/lohu930/", "/pufi791/", "/pule252/"]
SERVICE = "huvo11a"
DEADLINE_MS = 1_500
TASK_S = 0.9
STEP = {"count": 4, "cpu": 8_000, "memMb": 64, "estimateMs": 900}
JOBS = 6
CHANGE_AFTER_S = 0.2
STOP_AFTER_S = 0.15
REJECTIONS = (404, 429, 503)


async def case(world: World) -> None:
    """Remove a route and restart the scheduler while jobs of the route run."""
    routes = [
        route(f"r-{number}", prefix, SERVICE, DEADLINE_MS)
        for number, prefix in enumerate(PREFIXES)
    ]
    kinds = [(SERVICE, ["a", "r1-1"])]
    await world.begin(configuration(7, routes, [SERVICE]), kinds)
    leader = world.leader()
    world.log(f"{leader.name} schedules")
    jobs = {}
    for number in range(JOBS):
        job = job_id()
        world.works[job] = Work(STEP["cpu"], TASK_S)
        instance = world.instances[number % len(world.instances)]
        jobs[job] = asyncio.create_task(
            world.submit(instance, PREFIXES[0], job, DEADLINE_MS, STEP)
        )
    await asyncio.sleep(CHANGE_AFTER_S)
    if world.trouble:
        await world.configure(configuration(9, routes[1:], [SERVICE]))
        await asyncio.sleep(STOP_AFTER_S)
        world.log(f"SIGTERM to {leader.name}")
        leader.signal(signal.SIGTERM)
    for job, waiting in jobs.items():
        response = await waiting
        started = world.starts_of(job)
        if response.status in REJECTIONS and started:
            world.break_rule(
                f"{job} had {len(started)} starts, and its only request was answered "
                f"{response.status} {response.body.decode()}"
            )
    await asyncio.sleep(1.0)
    world.log(f"{world.leader().name} schedules")


if __name__ == "__main__":
    sys.exit(play(World(FOLDER, instances=4, runners=9), case))
