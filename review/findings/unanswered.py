"""Requests for the state of jobs that are never answered after a promotion.

No case: it takes more requests than a small deployment has. Run it in this folder with
``PYTHONPATH=../../target/deps python3 unanswered.py``.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig.http import Client, now  # noqa: E402
from rig.instance import Instance  # noqa: E402
from rig.world import HOST, World, configuration, job_id, play, route  # noqa: E402

CLIENTS = 24
PAUSE_S = 0.002
WAIT_S = 10.0
SECOND_STOP_S = 0.3
AFTER_S = 7.5


async def ask(world: World, instance: Instance, over: asyncio.Event) -> None:
    """Ask for the state of jobs on one connection until a request gets no answer."""
    client = Client(instance.front)
    while not over.is_set():
        sent_at = now()
        target = "/lohu930/" + job_id()
        response = await client.call("GET", target, HOST, wait_s=WAIT_S)
        if not response.status:
            if response.failure == "no response in time":
                world.break_rule(
                    f"GET at {instance.name}, sent at {sent_at - world.began:.3f}, "
                    f"has no answer after {WAIT_S} s"
                )
            return
        await asyncio.sleep(PAUSE_S)
    client.close()


async def case(world: World) -> None:
    """Stop the instance that leads, and 0.3 s later the one that leads then."""
    routes = [route("r", "/lohu930/", "s", 12_000)]
    await world.begin(configuration(7, routes, ["s"]), [("s", ["a"])])
    over = asyncio.Event()
    first = world.leader()
    asking = [
        asyncio.create_task(ask(world, instance, over))
        for instance in world.instances
        if instance is not first
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(1.0)
    if world.trouble:
        first.signal(signal.SIGTERM)
        await asyncio.sleep(SECOND_STOP_S)
        world.leader().signal(signal.SIGTERM)
    await asyncio.sleep(AFTER_S)
    over.set()
    await asyncio.gather(*asking)


if __name__ == "__main__":
    sys.exit(play(World(FOLDER, instances=4), case))
