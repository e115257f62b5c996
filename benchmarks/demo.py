"""Shows a whole service on one machine: `make demo`.

Three entry instances in three availability zones, a stand-in platform and 12
stand-in runners serve jobs over loopback. One job is submitted again to another
instance, and one instance is stopped gracefully amid the work. The exit code is
0 only if every answer is whole and every task started once.
"""

import signal
import sys
import time
from random import Random

from benchmarks.live_jobs import (
    LiveOutcome,
    prepare_jobs,
    submit_all,
    submit_job,
    wait_for_starts,
)
from benchmarks.live_service import Layout, LiveService

JOBS = 24
TASKS_PER_JOB = 20
STOP_TIMEOUT_S = 30.0


def answers_are_the_same_elsewhere(
    service: LiveService, outcomes: list[LiveOutcome]
) -> bool:
    """Submit two jobs again to other instances and compare the answers."""
    names = list(service.instances)
    for first, name in zip(outcomes, names[1:], strict=False):
        again = submit_job(service, first.live, (name,))
        if first.answer is None or again.answer is None:
            return False
        if first.answer.outcomes != again.answer.outcomes:
            return False
    return True


def main() -> int:
    """Run the demonstration and return the exit code."""
    began = time.monotonic()

    def say(text: str) -> None:
        print(f"{time.monotonic() - began:6.2f} s  {text}", flush=True)

    with LiveService(Layout()) as service:
        names = list(service.instances)
        say(f"{len(names)} entry instances serve: {', '.join(names)}")
        say(f"{len(service.runners)} runners with {service.layout.slots} slots each")
        jobs = prepare_jobs(service, JOBS, TASKS_PER_JOB, Random(1))
        stopped = names[0]

        def stop_one() -> None:
            wait_for_starts(service, TASKS_PER_JOB)
            say(f"{service.starts().starts} tasks started; stopping {stopped}")
            service.signal(stopped, signal.SIGTERM)

        say(f"submitting {JOBS} jobs of {TASKS_PER_JOB} tasks at the same time")
        outcomes = submit_all(service, jobs, stop_one)
        whole = sum(outcome.is_whole for outcome in outcomes)
        slowest = max(outcome.took_s for outcome in outcomes)
        say(f"{whole} of {JOBS} answers are whole; the slowest took {slowest:.2f} s")
        code = service.wait(stopped, STOP_TIMEOUT_S)
        say(f"{stopped} ended with exit code {code}")
        same = answers_are_the_same_elsewhere(service, outcomes)
        say("a job of the stopped and one of another instance were submitted again")
        say(f"elsewhere: the answers are {'the same' if same else 'DIFFERENT'}")
        count = service.starts()
        expected = JOBS * TASKS_PER_JOB
        say(f"the runners recorded {count.starts} starts of {expected} tasks")
        good = (
            whole == JOBS
            and same
            and code == 0
            and count.starts == count.distinct == expected
        )
        if not good:
            failures = [one.answer for one in outcomes if not one.is_whole]
            say(f"failures: {failures[:3]}; twice: {count.twice[:3]}")
        say("all is well" if good else "SOMETHING IS WRONG")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
