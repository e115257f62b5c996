"""A long randomised run with all faults mixed and paired.

Usage: python -m benchmarks.soak --seeds=1,2,3 [--tasks=20000] [--deployment=...]

Each seed runs until its callers have had an answer to every job. A violated
invariant ends the seed with its message; the exit code is then 1.
"""

import json
import sys

import attrs
from absl import app, flags

from benchmarks.soak_runs import parse_seeds, run_seed
from sassafrasloft.testing.services import DEPLOYMENTS

_SEEDS = flags.DEFINE_list("seeds", ["1"], "Seeds to run, or ranges such as 1-20.")
_TASKS = flags.DEFINE_integer("tasks", 20_000, "Tasks for each seed, about.")
_LOAD = flags.DEFINE_float("load", 0.5, "Share of all slots kept busy.")
_DEPLOYMENT = flags.DEFINE_enum(
    "deployment", "tsagaan-mod", sorted(DEPLOYMENTS), "Whose zones and latencies."
)
_OUTPUT = flags.DEFINE_string("output", "", "JSON file for the results.")


def main(_: list[str]) -> int:
    """Run all seeds and print a line for each."""
    results = []
    for seed in parse_seeds(_SEEDS.value):
        result = run_seed(seed, _TASKS.value, _LOAD.value, _DEPLOYMENT.value)
        results.append(result)
        print(json.dumps(attrs.asdict(result)), flush=True)
    bad = [one for one in results if one.violation or one.unanswered]
    total = sum(one.tasks_started for one in results)
    print(f"{len(results)} seeds, {total} tasks started, {len(bad)} seeds failed")
    if _OUTPUT.value:
        with open(_OUTPUT.value, "w", encoding="utf-8") as file:
            json.dump([attrs.asdict(one) for one in results], file, indent=1)
    return 1 if bad else 0


def run() -> None:
    """Run the program."""
    app.run(main)


if __name__ == "__main__":
    sys.exit(run())
