"""A runner that starts again as another kind gets work that it cannot do."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig.runner import Work  # noqa: E402
from rig.world import World, configuration, job_id, play, route  # noqa: E402

PREFIX = "/lohu930/"
SERVICE = "huvo11a"
DEADLINE_MS = 1_500
TASK_S = 0.2
STEP = {
    "count": 2,
    "cpu": 14_000,
    "memMb": 64,
    "estimateMs": 200,
    "requires": "b",
}
KINDS = [(SERVICE, ["a", "r1-1"]), (SERVICE, ["b", "r1-1"])]
GAP_S = 0.1
CRASHES = 5
DOWN_S = 0.5


async def submit_jobs(world: World) -> None:
    """Submit jobs that need a runner of kind b, each at the next instance."""
    number = 0
    running = set()
    while True:
        job = job_id()
        world.works[job] = Work(STEP["cpu"], TASK_S)
        instance = world.instances[number % len(world.instances)]
        number += 1
        task = asyncio.create_task(
            world.submit(instance, PREFIX, job, DEADLINE_MS, STEP)
        )
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(GAP_S)


async def case(world: World) -> None:
    """Crash runners of kind b in turn, which come back as kind a."""
    routes = [route("r-1", PREFIX, SERVICE, DEADLINE_MS)]
    await world.begin(configuration(7, routes, [SERVICE]), KINDS)
    clients = asyncio.create_task(submit_jobs(world))
    await asyncio.sleep(1.0)
    for runner in world.runners[1::2][:CRASHES]:
        if world.trouble:
            world.log(f"{runner.runner_id} crashes")
            runner.crash()
            await asyncio.sleep(DOWN_S)
            await runner.start(SERVICE, KINDS[0][1])
            world.log(f"{runner.runner_id} started again as kind a")
        await asyncio.sleep(2.0)
    clients.cancel()
    await asyncio.sleep(1.0)


def main() -> int:
    """Play the case; each start is checked as it happens."""
    world = World(FOLDER, runners=12)

    def check(runner, run, spec) -> None:
        world._run_started(runner, run, spec)
        if "b" not in runner.life.labels:
            world.break_rule(
                f"{run.task} requires b and started on {runner.runner_id}, "
                f"whose labels are {runner.life.labels}"
            )

    for runner in world.runners:
        runner.on_start = check
    return play(world, case)


if __name__ == "__main__":
    sys.exit(main())
