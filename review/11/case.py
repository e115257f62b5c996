"""Fault: one job without `cpu` and with `affinity` hangs one scheduler after the other.

Its client sends it as the pages say: again `resendMs` after it got no response.
"""

import asyncio
import os
import random
from pathlib import Path

from rig import RESEND_MS, Deployment, Instance, call, main, now_ms

FOLDER = Path(__file__).resolve().parent
INSTANCES = 9
RUNNERS = 24
DEADLINE_MS = 1_500
USUAL_JOBS_PER_S = 30
WATCHED_S = 25
HANG_S = 5
"""A process that answers no readiness check for so long, each of which may take a
second, has not handed back the processor: nothing else disturbs it."""
MEMORY_MB = 300
"""The platform kills a process that exceeds this."""
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def memory_mb(one: Instance) -> float:
    """Return the resident memory of a process."""
    statm = Path(f"/proc/{one.process.pid}/statm").read_text()
    return int(statm.split()[1]) * PAGE_BYTES / 1_048_576


def processor_s(one: Instance) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{one.process.pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


class Watch:
    """Checks an instance each quarter of a second, as the balancer does each second."""

    def __init__(self, deployment: Deployment, one: Instance) -> None:
        self._deployment = deployment
        self._instance = one
        self.violations: list[str] = []

    async def run(self) -> None:
        """Watch until the script ends."""
        silent_since = now_ms()
        used = processor_s(self._instance)
        reported = False
        while True:
            await asyncio.sleep(0.25)
            one = self._instance
            if one.process.poll() is not None:
                self._report("ended by itself", status=one.process.returncode)
                await one.restart()
                silent_since, used, reported = now_ms() + 3_000, 0.0, False
                continue
            if memory_mb(one) > MEMORY_MB:
                self._report("killed: over its memory", mb=MEMORY_MB)
                one.process.kill()
                await one.restart()
                silent_since, used, reported = now_ms() + 3_000, 0.0, False
                continue
            port = self._deployment.ready_port
            status, _ = await call(one.host, port, "GET", "/-/readyz", timeout_s=1)
            if status:
                silent_since, used, reported = now_ms(), processor_s(one), False
            elif now_ms() - silent_since > HANG_S * 1_000 and not reported:
                reported = True
                seconds = (now_ms() - silent_since) / 1_000
                busy = (processor_s(one) - used) / seconds
                self._report(
                    "hangs", silent_s=f"{seconds:.1f}", processor_share=f"{busy:.2f}"
                )

    def _report(self, what: str, **fields) -> None:
        name = self._instance.name
        self._deployment.record.write("fault", instance=name, what=what, **fields)
        detail = " ".join(f"{key}={value}" for key, value in fields.items())
        self.violations.append(f"Fault: {name} {what} {detail}")


async def usual_client(deployment: Deployment, one: Instance) -> None:
    """Send usual jobs to an instance, as long as the script runs."""
    while True:
        await asyncio.sleep(random.expovariate(USUAL_JOBS_PER_S / INSTANCES))
        count = random.randint(2, 6)
        job, document = deployment.new_job(count, 14_000, random.uniform(50, 250))
        deployment.run_in_background(deployment.submit(one, job, document, DEADLINE_MS))


async def case(deployment: Deployment, trouble: bool) -> list[str]:
    """Send the job, and watch all instances for a while."""
    await deployment.start(INSTANCES, RUNNERS, timeout_ms=DEADLINE_MS)
    await asyncio.sleep(4)
    watches = [Watch(deployment, one) for one in deployment.instances]
    for watch in watches:
        deployment.run_in_background(watch.run())
    for one in deployment.instances:
        deployment.run_in_background(usual_client(deployment, one))
    await asyncio.sleep(5)
    job, document = deployment.new_job(2, 0, 200)
    (step,) = document["steps"]
    step["affinity"] = deployment.runners[0].rack
    del step["cpu"]
    if not trouble:
        step["cpu"] = 500
    deployment.record.write("job", job=job, steps=document["steps"])
    ends_at = now_ms() + WATCHED_S * 1_000
    while now_ms() < ends_at:
        one = random.choice(deployment.instances)
        status, _ = await deployment.submit(one, job, document, DEADLINE_MS)
        if status not in (0, 502, 504):
            break
        await asyncio.sleep(RESEND_MS / 1_000)
    await asyncio.sleep(max(0, ends_at - now_ms()) / 1_000)
    return [text for watch in watches for text in watch.violations]


main(case, FOLDER)
