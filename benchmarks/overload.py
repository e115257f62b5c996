"""Overload policies beside their baselines: the same jobs in one event queue.

A burst of the users' three kinds of job on 24 runners, of which some turn slow. Each
policy sees the same jobs at the same times.

Run ``python -m benchmarks.overload``.
"""

import json
from collections.abc import Callable
from pathlib import Path
from random import Random

import attrs
from absl import app, flags

from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.scheduling.controller import SchedulingController
from sassafrasloft.testing.fleet.command_execution import HOST, SERVICE, TestJob
from sassafrasloft.testing.fleet.world import FleetWorld, simple_job
from sassafrasloft.workload import Route

_OUTPUT = flags.DEFINE_string("output", "", "File for the results as JSON.")
_SEEDS = flags.DEFINE_integer("seeds", 3, "Seeds for each policy.")

ZONES = {"north": 3, "south": 3, "west": 3}
RUNNERS = 8
SECONDS = 6.0
SETTLE_MS = 1_000
DEADLINE_MS = 1_500
KINDS = (
    (Route("lookup", HOST, "/lookup/", SERVICE, 0, 4, 1.6, 60, 1_500), 8, 60, 17.2),
    (Route("confirm", HOST, "/confirm/", SERVICE, 1, 2, 1.6, 60, 1_500), 2, 200, 50.0),
    (Route("order", HOST, "/order/", SERVICE, 2, 3, 1.6, 60, 1_500), 4, 900, 3.12),
)
"""Route, tasks of a job, milliseconds of a task, jobs a second: the users' sheet."""
LOAD = 1.5
"""Times the sheet's rates: more than the runners can take."""
POLICIES: dict[str, dict[str, str]] = {
    "chosen": {},
    "admission until_deadline": {"admission": "until_deadline"},
    "admission share_of_objective": {"admission": "share_of_objective"},
    "order arrival": {"order": "arrival"},
    "placement first_fit": {"placement": "first_fit"},
}


@attrs.frozen
class Arrival:
    """A job at a time, in milliseconds."""

    at_ms: float
    job: object
    route: Route
    instance: int


def arrivals(seed: int) -> list[Arrival]:
    """Return the jobs of a run, in the order of their arrival."""
    random = Random(seed)
    found: list[Arrival] = []
    for route, width, duration, rate in KINDS:
        at = 0.0
        while True:
            at += random.expovariate(rate * LOAD) * 1_000
            if at > SECONDS * 1_000:
                break
            count = max(1, round(width * random.uniform(0.6, 1.4)))
            cores = random.randrange(8_000, 20_000)
            length = round(duration * random.uniform(0.6, 1.4))
            job = simple_job(random.getrandbits(60), count, cores, length)
            found.append(Arrival(at, job, route, random.randrange(9)))
    return sorted(found, key=lambda one: one.at_ms)


def play(policies: dict[str, str], seed: int) -> list[TestJob]:
    """Play the jobs of a seed under some policies; return them with their answers."""
    world = FleetWorld(ZONES, RUNNERS, seed=seed)
    for instance in world.instances.values():
        controllers = [
            SchedulingController(**policies)
            if isinstance(one, SchedulingController)
            else one
            for one in CONTROLLERS.create_all()
        ]
        instance.core = type(instance.core)(instance.core.board, controllers)
    world.configure(1, tuple(route for route, *_ in KINDS))
    world.run(SETTLE_MS)
    begin = world.queue.now
    for runner in list(world.runners.values())[:2]:
        world.queue.after(2_000, _slow(runner))
    names = sorted(world.instances)
    jobs: list[TestJob] = []
    for one in arrivals(seed):
        world.queue.run_until(begin + one.at_ms)
        job = world.submit(one.job, one.route, names[one.instance], DEADLINE_MS)
        jobs.append(job)
        world.queue.after(DEADLINE_MS, lambda job=job: _leave(world, job))
    world.run(3_000)
    return jobs


def _slow(runner: object) -> Callable[[], None]:
    def change() -> None:
        runner.slowness = 5.0

    return change


def _leave(world: FleetWorld, job: TestJob) -> None:
    if not job.answers:
        world.give_up(job)


def figures(jobs: list[TestJob]) -> dict[str, float]:
    """Return the shares of jobs in time, served and refused, and their core-time."""
    in_time = served = refused = 0
    for job in jobs:
        if job.answer is None:
            continue
        if job.answer.kind == "completed":
            served += 1
            objective = job.route.objective_ms(job.job.critical_path_ms())
            in_time += job.waited_ms <= objective
        else:
            refused += 1
    count = len(jobs)
    return {
        "jobs": count,
        "in_time": round(in_time / count, 3),
        "served": round(served / count, 3),
        "refused": round(refused / count, 3),
    }


def main(_: list[str]) -> None:
    """Print the figures of each policy."""
    results: dict[str, dict[str, float]] = {}
    for name, policies in POLICIES.items():
        jobs = [
            job for seed in range(1, _SEEDS.value + 1) for job in play(policies, seed)
        ]
        results[name] = figures(jobs)
        print(f"{name:32} {results[name]}")
    if _OUTPUT.value:
        Path(_OUTPUT.value).write_text(json.dumps(results, indent=1) + "\n", "utf-8")


if __name__ == "__main__":
    app.run(main)
