"""Waits for the rack of a task's data, by policy: the same jobs in one event queue.

The users' three kinds of job on 24 runners in three racks. A share of the short jobs
have their data in one rack; elsewhere their tasks take three times as long. A burst of
such jobs comes amid the run.

Run ``python -m benchmarks.rack_wait``.
"""

import json
from pathlib import Path
from random import Random

import attrs
from absl import app, flags

from benchmarks.burst import KINDS, Arrival, arrivals, play_arrivals, world_with
from sassafrasloft.testing.fleet.command_execution import TestJob
from sassafrasloft.testing.fleet.world import FleetWorld

_OUTPUT = flags.DEFINE_string("output", "", "File for the results as JSON.")
_SEEDS = flags.DEFINE_integer("seeds", 3, "Seeds for each policy and load.")

RACK_RUNNERS = 8
HOT_RACK = "rack-0"
LOADS = {"half load": 0.35, "full load": 0.7, "overload": 1.0}
"""Shares of the jobs of `benchmarks.overload`, which are one and a half times what the
runners can take."""
HOT_SHARES = (0.3, 0.8)
POLICIES = {
    "no wait": "first_fit",
    "fixed price": "best_fit",
    "fixed wait": "fixed_rack_wait",
    "expected end": "expected_end",
}


def with_racks(planned: list[Arrival], load: float, hot: float, seed: int):
    """Return a share of the jobs; some of the short ones have data in the hot rack."""
    random = Random(f"racks {seed}")
    chosen = [one for one in planned if random.random() < load]
    return [
        _in_hot_rack(one) if _is_short(one) and random.random() < hot else one
        for one in chosen
    ]


def _is_short(one: Arrival) -> bool:
    return one.route == KINDS[0][0]


def _in_hot_rack(one: Arrival) -> Arrival:
    steps = tuple(attrs.evolve(step, preferred_rack=HOT_RACK) for step in one.job.steps)
    return attrs.evolve(one, job=attrs.evolve(one.job, steps=steps))


def world_with_racks(policy: str, seed: int) -> FleetWorld:
    """Return a fleet whose runners stand in three racks."""
    world = world_with({"placement": policy}, seed)
    for number, runner in enumerate(list(world.runners.values())):
        rack = f"rack-{number // RACK_RUNNERS}"
        runner.entry = attrs.evolve(runner.entry, labels=("kind-a", rack))
        world.register(runner.entry)
    world.run(1_200)
    return world


def is_hot(job: TestJob) -> bool:
    """Return whether the data of a job is in the hot rack."""
    return bool(job.job.steps[0].preferred_rack)


def figures(jobs: list[TestJob]) -> dict[str, float]:
    """Return the share of jobs in time and the mean duration of completed ones."""
    ended = [one for one in jobs if one.answer and one.answer.kind == "completed"]
    in_time = sum(
        one.waited_ms <= one.route.objective_ms(one.job.critical_path_ms())
        for one in ended
    )
    mean_ms = sum(one.waited_ms for one in ended) / max(1, len(ended))
    return {
        "jobs": len(jobs),
        "in_time": round(in_time / max(1, len(jobs)), 3),
        "mean_ms": round(mean_ms, 1),
    }


def compare(load: float, hot: float, seeds: int) -> dict[str, dict]:
    """Return the figures of each policy for one load."""
    rows = {}
    for name, policy in POLICIES.items():
        wanted: list[TestJob] = []
        others: list[TestJob] = []
        for seed in range(1, seeds + 1):
            planned = with_racks(arrivals(seed), load, hot, seed)
            world = world_with_racks(policy, seed)
            for job in play_arrivals(world, planned, world.queue.now):
                (wanted if is_hot(job) else others).append(job)
        rows[name] = {
            "hot": figures(wanted),
            "others": figures(others),
        }
    return rows


def main(_: list[str]) -> None:
    """Print the figures of all policies; write them as JSON if asked."""
    results = {}
    for label, load in LOADS.items():
        for hot in HOT_SHARES:
            title = f"{label}, {hot:.0%} of the short jobs want one rack"
            results[title] = compare(load, hot, _SEEDS.value)
            print(title)
            for name, row in results[title].items():
                print(f"  {name:<13}", *(f"{k} {v}" for k, v in row.items()))
    if _OUTPUT.value:
        Path(_OUTPUT.value).write_text(json.dumps(results, indent=1) + "\n", "utf-8")


if __name__ == "__main__":
    app.run(main)
