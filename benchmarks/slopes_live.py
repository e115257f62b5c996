"""Processor time of a whole entry process on loopback, by tasks a job.

One entry instance, the stand-in of the platform and one process with all
stand-in runners; the callers are threads of this process.
"""

import os
import re
import time
from pathlib import Path
from random import Random

from benchmarks.live_jobs import prepare_jobs, submit_all
from benchmarks.live_service import Layout, LiveService
from benchmarks.slope_fits import Point, Slope, make_slope, register_measurement

SIZES = (1, 10, 40, 80)
TASKS = 800
JOBS_AT_ONCE = 16
LONGEST_MS = 100
IDLE_S = 5.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_ms(process_id: int) -> float:
    """Return the processor time that a process has used."""
    text = Path(f"/proc/{process_id}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1_000 / TICKS_PER_SECOND


def process_mb(process_id: int) -> float:
    """Return the resident size of a process."""
    text = Path(f"/proc/{process_id}/status").read_text(encoding="utf-8")
    return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) * 1_024 / 1e6


def _jobs_of(tasks: int) -> int:
    """Return how many jobs of a size are run, a multiple of `JOBS_AT_ONCE`."""
    return max(1, TASKS // tasks // JOBS_AT_ONCE) * JOBS_AT_ONCE


def _job_cpu_ms(service: LiveService, process_id: int, tasks: int) -> float:
    """Return the time of one job, the request for its id included."""
    jobs = _jobs_of(tasks)
    before = cpu_ms(process_id)
    for start in range(0, jobs, JOBS_AT_ONCE):
        part = prepare_jobs(
            service, JOBS_AT_ONCE, tasks, Random(tasks + start), LONGEST_MS
        )
        outcomes = submit_all(service, part, lambda: None)
        failed = [one.answer for one in outcomes if not one.is_whole]
        if failed:
            raise RuntimeError(f"{len(failed)} jobs failed: {failed[0]}")
    return (cpu_ms(process_id) - before) / jobs


@register_measurement("live")
def live() -> list[Slope]:
    """Measure the processor time and the resident size of an entry process."""
    with LiveService(Layout(instances=1)) as service:
        process_id = service.processes[next(iter(service.instances))].pid
        _job_cpu_ms(service, process_id, 10)
        before = cpu_ms(process_id)
        time.sleep(IDLE_S)
        idle_ms = (cpu_ms(process_id) - before) / IDLE_S
        done = _jobs_of(10)
        sizes = [Point(done, process_mb(process_id))]
        found = []
        for tasks in SIZES:
            found.append(Point(tasks, _job_cpu_ms(service, process_id, tasks)))
            done += _jobs_of(tasks)
            sizes.append(Point(done, process_mb(process_id)))
    fixed = "1 instance, 12 runners, 16 callers at once, control included"
    return [
        make_slope("live_job_ms_by_tasks", "tasks a job", "ms a job", fixed, found),
        make_slope("live_idle_ms", "runners", "ms a s", fixed, [Point(12, idle_ms)]),
        make_slope("live_resident_mb", "jobs done", "MB", fixed, sizes),
    ]
