"""Overload policies beside their baselines: the same jobs in one event queue.

A burst of the users' three kinds of job on 24 runners, of which some turn slow. Each
policy sees the same jobs at the same times.

Run ``python -m benchmarks.overload``.
"""

import json
from collections.abc import Callable
from pathlib import Path

from absl import app, flags

from benchmarks.burst import arrivals, play_arrivals, world_with
from sassafrasloft.testing.fleet.command_execution import TestJob

_OUTPUT = flags.DEFINE_string("output", "", "File for the results as JSON.")
_SEEDS = flags.DEFINE_integer("seeds", 3, "Seeds for each policy.")

POLICIES: dict[str, dict[str, str]] = {
    "chosen": {},
    "admission until_deadline": {"admission": "until_deadline"},
    "admission share_of_objective": {"admission": "share_of_objective"},
    "order arrival": {"order": "arrival"},
    "placement first_fit": {"placement": "first_fit"},
}


def play(policies: dict[str, str], seed: int) -> list[TestJob]:
    """Play the jobs of a seed under some policies; return them with their answers."""
    world = world_with(policies, seed)
    begin = world.queue.now
    for runner in list(world.runners.values())[:2]:
        world.queue.after(2_000, _slow(runner))
    return play_arrivals(world, arrivals(seed), begin)


def _slow(runner: object) -> Callable[[], None]:
    def change() -> None:
        runner.slowness = 5.0

    return change


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
