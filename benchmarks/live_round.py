"""One round on real processes: `make live-round`.

The same jobs, drawn from one seed, run once on eight entry processes with
stand-in runners over loopback and once in the event queue, so that the figures
of the core can be compared with those of the program.
"""

import json
import os
import sys
import threading
import time
from collections.abc import Sequence
from pathlib import Path
from random import Random

import attrs
from absl import app, flags

from benchmarks.live_jobs import LiveJob, LiveOutcome, submit_job
from benchmarks.live_service import TEAM, Layout, LiveService
from sassafrasloft.testing import Network, Workload, draw_jobs, ideal_response_ms
from sassafrasloft.testing.services import DEPLOYMENTS, make_settings, make_world
from sassafrasloft.testing.workload import PlannedJob

RESULTS = Path(__file__).parent / "results" / "live_round.json"
LAYOUT = Layout(instances=8, runners=24)
SLOTS = LAYOUT.runners * LAYOUT.slots
SETTLE_S = 60.0
WARM_UP_MS = 3_000.0

_LOADS = flags.DEFINE_list("loads", ["0.3"], "Shares of the slots kept busy.")
_SECONDS = flags.DEFINE_integer("round_seconds", 20, "Time in which jobs arrive.")
_JOBS_SEED = flags.DEFINE_integer("jobs_seed", 1, "Seed of the jobs.")


@attrs.frozen
class Round:
    """Response over ideal of the complete jobs of one run."""

    where: str
    load: float
    jobs: int
    complete: int
    p50: float
    p99: float
    started_twice: int
    deliveries_per_task: float


def plan(load: float) -> list[PlannedJob]:
    """Return the jobs of a round."""
    workload = Workload(load=load, teams=1)
    random = Random(_JOBS_SEED.value)
    jobs = draw_jobs(workload, SLOTS, _SECONDS.value * 1_000.0, random)
    return [attrs.evolve(job, spec=attrs.evolve(job.spec, team=TEAM)) for job in jobs]


def _quantile(ratios: list[float], share: float) -> float:
    ordered = sorted(ratios)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3)


def run_live(load: float, jobs: list[PlannedJob]) -> Round:
    """Submit the jobs to real processes at their times."""
    with LiveService(LAYOUT) as service:
        names = list(service.instances)
        outcomes: dict[str, LiveOutcome] = {}
        threads = []
        began = time.monotonic()
        for number, job in enumerate(jobs):
            order = tuple(names[number % len(names) :] + names[: number % len(names)])
            submission_id = service.client(order[0]).new_ids().unwrap()[0]
            live = LiveJob(submission_id, job.spec, order)
            time.sleep(max(0.0, began + job.arrival_ms / 1_000 - time.monotonic()))
            threads.append(
                threading.Thread(target=_submit, args=(service, live, job, outcomes))
            )
            threads[-1].start()
        for thread in threads:
            thread.join(SETTLE_S)
        whole = {token: one for token, one in outcomes.items() if one.is_whole}
        ratios = [
            whole[job.token].took_s * 1_000 / ideal_response_ms(job, SLOTS, 0.0, 0.0)
            for job in jobs
            if job.token in whole
        ]
        starts = service.starts()
        deliveries = service.runner_messages()["tasks"]
    return Round(
        "processes",
        load,
        len(jobs),
        len(whole),
        _quantile(ratios, 0.5),
        _quantile(ratios, 0.99),
        len(starts.twice),
        round(deliveries / max(1, starts.starts), 3),
    )


def _submit(
    service: LiveService,
    live: LiveJob,
    job: PlannedJob,
    outcomes: dict[str, LiveOutcome],
) -> None:
    outcomes[job.token] = submit_job(service, live)


def run_queue(load: float, jobs: list[PlannedJob]) -> Round:
    """Run the same jobs in the event queue, without network latency."""
    settings = make_settings(DEPLOYMENTS["tsagaan-mod"], LAYOUT.instances)
    team = attrs.evolve(settings.teams[0], name=TEAM)
    settings = attrs.evolve(settings, teams=(team,))
    world = make_world(DEPLOYMENTS["tsagaan-mod"], _JOBS_SEED.value, settings)
    _remove_latency(world.network)
    world.start()
    for job in jobs:
        begin_ms = WARM_UP_MS + job.arrival_ms
        world.queue.at(begin_ms, lambda job=job: world.callers.submit_planned_job(job))
    world.queue.run_until(WARM_UP_MS + (_SECONDS.value + SETTLE_S) * 1_000)
    ratios = [
        end.response_ms / ideal_response_ms(end.job, SLOTS, 0.0, 0.0)
        for end in world.callers.ends
        if end.fate == "complete"
    ]
    return Round(
        "event queue",
        load,
        len(jobs),
        len(ratios),
        _quantile(ratios, 0.5),
        _quantile(ratios, 0.99),
        0,
        round(world.traffic.deliveries / max(1, len(world.ground_truth.starts)), 3),
    )


def _remove_latency(network: Network) -> None:
    network.zone_latency_ms = 0.0
    network.local_latency_ms = 0.0
    network.client_latency_ms = 0.0


def main(_: Sequence[str]) -> int:
    """Run all rounds and write the results."""
    rounds = []
    for load in map(float, _LOADS.value):
        jobs = plan(load)
        for one in (run_queue(load, jobs), run_live(load, jobs)):
            rounds.append(attrs.asdict(one))
            print(json.dumps(rounds[-1]), flush=True)
    results = {"processors": os.cpu_count(), "rounds": rounds}
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")
    return 0 if all(not one["started_twice"] for one in rounds) else 1


def run() -> None:
    """Run the program."""
    app.run(main)


if __name__ == "__main__":
    sys.exit(run())
