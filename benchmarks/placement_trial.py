"""Compares policies of placement on the event queue, with the same seeds.

Usage: python -m benchmarks.placement_trial [--placements=random,least_loaded]
[--loads=0.3,0.7] [--seeds=1,2] [--tasks=20000] [--deployment=...] [--instances=8]

There are no faults. Each line gives the response over ideal, the refusals and
other wasted messages for each finished task, and the processor time that all
cores together used for each finished task.
"""

import sys
import time
from functools import partial
from random import Random

import attrs
from absl import app, flags

from benchmarks.soak import MEAN_TASK_MS, SETTLE_MS, WARM_UP_MS
from sassafrasloft.dispatch.placements import (
    LeastLoadedPlacement,
    placements,
    register_placement,
)
from sassafrasloft.jobs import Fate
from sassafrasloft.testing import (
    Workload,
    World,
    draw_jobs,
    ideal_response_ms,
    make_settings,
    make_world,
)
from sassafrasloft.testing.hosts import InstanceHost
from sassafrasloft.testing.services import DEPLOYMENTS

_PLACEMENTS = flags.DEFINE_list("placements", [], "Policies; all if empty.")
_LOADS = flags.DEFINE_list("loads", ["0.3", "0.7"], "Shares of slots kept busy.")
_SEEDS = flags.DEFINE_list("trial_seeds", ["1"], "Seeds of jobs and world.")
_TASKS = flags.DEFINE_integer("trial_tasks", 20_000, "Tasks for each run, about.")
_MAX_TASKS = flags.DEFINE_integer("max_tasks", 340, "Tasks of the largest job.")
_INSTANCES = flags.DEFINE_integer("instances", 8, "Entry instances.")
_DEPLOYMENT = flags.DEFINE_enum(
    "trial_deployment", "tsagaan-mod", sorted(DEPLOYMENTS), "Zones and latencies."
)


@register_placement("trial_reserve_0")
class BorrowAll(LeastLoadedPlacement):
    """Leaves no slot to the home instance."""

    stale_reserve = 0


@register_placement("trial_reserve_2")
class BorrowLess(LeastLoadedPlacement):
    """Leaves two slots to the home instance."""

    stale_reserve = 2


@register_placement("trial_reserve_8")
class BorrowNothing(LeastLoadedPlacement):
    """Uses other homes only right after a reply: nearly fixed shares."""

    stale_reserve = 8


@register_placement("trial_gossip_only")
class GossipOnly(LeastLoadedPlacement):
    """Does not use the free slots that replies carry."""

    reply_trusted_ms = -1
    fresh_reply_ms = -1


@register_placement("trial_replies_long")
class RepliesLong(LeastLoadedPlacement):
    """Trusts replies for two gossip periods."""

    reply_trusted_ms = 1_000


@attrs.frozen
class TrialResult:
    """What one run of one policy led to."""

    placement: str
    load: float
    seed: int
    finished: int
    p50: float
    p99: float
    wasted: dict[str, float]
    control: float
    """Control messages for each finished task."""
    control_bytes: float
    """Control bytes an instance and second."""
    core_ms: float
    bad_jobs: int

    def __str__(self) -> str:
        """Return one line of the report."""
        wasted = " ".join(f"{name}={value:.4f}" for name, value in self.wasted.items())
        return (
            f"{self.placement:20} load={self.load} seed={self.seed} "
            f"tasks={self.finished} p50={self.p50:.3f} p99={self.p99:.3f} "
            f"core_ms={self.core_ms:.3f} bad={self.bad_jobs} "
            f"control/task={self.control:.3f} bytes/s={self.control_bytes:.0f} "
            f"wasted/task: {wasted}"
        )


class CoreStopwatch:
    """Adds up the processor time that steps of the cores take."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def watch(self, host: InstanceHost) -> None:
        """Measure the steps of one instance."""
        core = host._core  # noqa: SLF001 - measured from outside
        step = core.step

        def timed_step(event, now):
            start = time.process_time()
            try:
                return step(event, now)
            finally:
                self.seconds += time.process_time() - start

        core.step = timed_step


def make_trial_world(placement: str, seed: int) -> World:
    """Return a world whose instances use a policy."""
    deployment = DEPLOYMENTS[_DEPLOYMENT.value]
    settings = make_settings(deployment, instances=_INSTANCES.value)
    dispatch = attrs.evolve(settings.dispatch, placement=placement)
    return make_world(deployment, seed, attrs.evolve(settings, dispatch=dispatch))


def run_trial(placement: str, load: float, seed: int, tasks: int) -> TrialResult:
    """Run one policy under one load until all jobs have ended."""
    world = make_trial_world(placement, seed)
    slots = sum(runner.slots for runner in world.settings.runners)
    duration_ms = tasks * MEAN_TASK_MS / (slots * load)
    workload = Workload(load=load, max_tasks=_MAX_TASKS.value)
    jobs = draw_jobs(workload, slots, duration_ms, Random(seed))
    stopwatch = CoreStopwatch()
    world.start()
    for host in world.hosts.values():
        stopwatch.watch(host)
    world.queue.run_until(WARM_UP_MS)
    wasted_before = dict(world.traffic.wasted)
    for job in jobs:
        submit_planned_job = partial(world.callers.submit_planned_job, job)
        world.queue.at(WARM_UP_MS + job.arrival_ms, submit_planned_job)
    end_ms = WARM_UP_MS + duration_ms
    world.queue.run_until(end_ms)
    while world.callers.open_jobs and end_ms < duration_ms + SETTLE_MS:
        end_ms += 1_000
        world.queue.run_until(end_ms)
    return _summary(world, placement, load, seed, stopwatch, wasted_before)


def _summary(
    world: World,
    placement: str,
    load: float,
    seed: int,
    stopwatch: CoreStopwatch,
    wasted_before: dict[str, int],
) -> TrialResult:
    slots = sum(runner.slots for runner in world.settings.runners)
    client_ms = world.network.client_latency_ms
    good = [end for end in world.callers.ends if end.fate is Fate.COMPLETE]
    ratios = sorted(
        end.response_ms / ideal_response_ms(end.job, slots, client_ms, 0.25)
        for end in good
    )
    finished = max(1, sum(len(end.job.spec.tasks) for end in good))
    wasted = {
        name: (count - wasted_before.get(name, 0)) / finished
        for name, count in sorted(world.traffic.wasted.items())
    }
    return TrialResult(
        placement,
        load,
        seed,
        finished,
        ratios[len(ratios) // 2],
        ratios[len(ratios) * 99 // 100],
        wasted,
        sum(world.traffic.control_messages.values()) / finished,
        1_000
        * sum(world.traffic.control_bytes.values())
        / (world.now * len(world.hosts)),
        1_000 * stopwatch.seconds / finished,
        len(world.callers.ends) - len(good) + world.callers.open_jobs,
    )


def main(_: list[str]) -> int:
    """Run all combinations and print a line for each."""
    for load in _LOADS.value:
        for placement in _PLACEMENTS.value or placements():
            for seed in _SEEDS.value:
                result = run_trial(placement, float(load), int(seed), _TASKS.value)
                print(result, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
