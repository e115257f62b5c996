"""Processor time a task of the queue, placement and reports of one instance.

Usage: python -m benchmarks.dispatch_costs [--cost_tasks=5000]

One instance, 24 runners of 8 slots, and a keeper of task records in place of
the submissions controllers. Every task is accepted, placed, reported complete;
the queue is kept at the stated depth. The aim for the whole entry instance is
0.25 ms a task.
"""

import sys
import time

import attrs
from absl import app, flags

from sassafrasloft.core import Deliver, JobAccepted, TaskReported
from sassafrasloft.dispatch import DispatchController
from sassafrasloft.jobs import ReportState, RunnerCapacity, TaskReport
from sassafrasloft.settings import DispatchSettings
from sassafrasloft.upstreams.tests.builders import Driver, make_settings

_TASKS = flags.DEFINE_integer("cost_tasks", 5_000, "Tasks for each case.")

JOB_SIZES = (1, 10, 100, 340)
QUEUE_DEPTHS = (0, 1_000, 10_000)
RUN_MS = 200
BUSY_TASKS = 100
"""Tasks kept in flight while the queue is empty."""


@attrs.define
class CostCase:
    """One case: jobs of one size over a queue of one depth."""

    job_size: int
    depth: int
    spent_s: float = 0.0
    finished: int = 0
    deliveries: list[Deliver] = attrs.field(factory=list)

    def run(self, tasks: int) -> float:
        """Return the processor time in milliseconds for each finished task."""
        settings = make_settings(
            24, ("one",), dispatch=DispatchSettings(placement="least_loaded")
        )
        driver = Driver(settings, (DispatchController(),))
        driver.start()
        self._top_up(driver, 1)
        self.spent_s = 0.0
        while self.finished < tasks and self.deliveries:
            self._finish_next(driver)
            self._top_up(driver, BUSY_TASKS)
        return 1_000 * self.spent_s / self.finished

    def _top_up(self, driver: Driver, busy: int) -> None:
        """Add jobs until the queue has its depth and runners have work."""
        queue = driver.board.queue
        while queue.waiting_tasks < self.depth or (
            not queue.waiting_tasks and len(queue.sent) < busy
        ):
            job = driver.add_job(self.job_size, run_ms=RUN_MS)
            self._step(driver, JobAccepted(job))

    def _finish_next(self, driver: Driver) -> None:
        delivery = self.deliveries.pop(0)
        state = driver.runners[delivery.runner]
        driver.now += 1
        for one in delivery.assignments:
            free = state.settings.slots - len(state.in_flight) + 1
            report = TaskReport(one.key, ReportState.COMPLETE, run_ms=RUN_MS)
            capacity = RunnerCapacity(state.incarnation, free)
            event = TaskReported(
                delivery.runner, delivery.delivery_id, report, capacity
            )
            self._step(driver, event)
            self.finished += 1

    def _step(self, driver: Driver, event: JobAccepted | TaskReported) -> None:
        start = time.process_time()
        commands = driver.step(event)
        self.spent_s += time.process_time() - start
        self.deliveries += [one for one in commands if isinstance(one, Deliver)]


def main(_: list[str]) -> int:
    """Run all cases and print a line for each."""
    for depth in QUEUE_DEPTHS:
        for job_size in JOB_SIZES:
            cost_ms = CostCase(job_size, depth).run(_TASKS.value)
            print(f"depth={depth:6} job={job_size:4} ms/task={cost_ms:.3f}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
