"""TWICE: an unstopped run goes on beside the one that its own scheduler starts.

The project's own stand-ins and proxy (`platform/soak`) give each pair of processes a
link of its own, so that a zone can be cut off.
"""

import asyncio
import contextlib
import json
import os
import random
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
sys.path[:0] = [str(FOLDER.parent / "11"), str(ROOT), str(ROOT / "platform")]
sys.path.append(str(ROOT / "target/deps"))
os.environ["PYTHONPATH"] = str(ROOT / "target/deps")

from rig import Record, call  # noqa: E402
from soak.audit import SoakJob  # noqa: E402
from soak.callers import HOST  # noqa: E402
from soak.processes import ManagedInstance  # noqa: E402
from soak.promises import instance_subject  # noqa: E402
from soak.proxy import Impairment, Link  # noqa: E402
from soak.standin_servers import RunnerMachine, now_ms  # noqa: E402
from soak.world import SoakOptions, World  # noqa: E402

from sassafrasloft.standins.lease_runner import StandinTask  # noqa: E402
from sassafrasloft.workload import Resources  # noqa: E402

INSTANCES = 9
RUNNERS = 24
SERVICE = "desk"
"""The stand-ins of every other runner belong to it."""
WORK_MS = 9_000
"""A paint order of 3.6 s takes up to 10.8 s away from its data (`remoteFactor` 3)."""
WAIT_MS = 15_000
JOBS = 48
"""Half of them arrive in the zone of the scheduler."""
DEMAND = Resources(4_000, 64, 0)
"""Eight tasks fit on a runner, as it has eight slots."""
CUT_S = 5.0
FAILING_SHARE = 0.5
"""Of the requests to a grey runner; `srv_grey` goes up to 1.0."""
GREY_RUNNERS = 1
"""0.083 of the twelve of the service; `srv_grey` goes up to 0.085 on this site."""
STEP = {"count": 1, "cpu": 4_000, "memMb": 64, "estimateMs": WORK_MS}
BODY = json.dumps({"spec": "(text)", "bestEffort": True, "steps": [STEP]}).encode()


class Sometimes:
    """True in a share of all uses: a runner fails a part of its requests."""

    def __init__(self, share: float) -> None:
        self._share = share

    def __bool__(self) -> bool:
        """Return whether the request fails."""
        return random.random() < self._share


class Case:
    """One run of the case."""

    def __init__(self, world: World, record: Record) -> None:
        self.world = world
        self.record = record
        self.violations: dict[str, str] = {}
        self.jobs_of_zone: dict[str, list[str]] = {}

    async def tick(self) -> None:
        """Advance the stand-ins, and look for tasks that run twice."""
        known: set[tuple[str, str, int]] = set()
        while True:
            await asyncio.sleep(0.01)
            self.world.runners.advance()
            self.world.store.expire(now_ms())
            at_work: dict[str, list[str]] = {}
            current = set()
            for machine in self.world.runners.machines:
                for run in machine.runner.running.values():
                    at_work.setdefault(run.task, []).append(
                        machine.runner.entry.runner_id
                    )
                    current.add((run.task, machine.runner.entry.runner_id, run.number))
            for task, runner, number in current - known:
                self.record.write("runs", task=task, runner=runner, run=number)
            for task, runner, number in known - current:
                self.record.write("over", task=task, runner=runner, run=number)
            known = current
            for task, runners in at_work.items():
                if len(runners) > 1 and task not in self.violations:
                    text = f"TWICE: {task} runs on {' and '.join(runners)}"
                    self.violations[task] = text
                    self.record.write("violation", text=text)

    async def submit(self, instance: ManagedInstance) -> None:
        """Send a job of one task and wait for its answer."""
        task = StandinTask(DEMAND, float(WORK_MS))
        job_id = f"{random.getrandbits(64):016x}"
        job = SoakJob(job_id, SERVICE, f"/{SERVICE}/", "(text)", ((task,),), ((),), 2)
        self.world.audit.jobs[job_id] = job
        self.jobs_of_zone.setdefault(instance.zone, []).append(job_id)
        host, _, port = instance.endpoint.address.rpartition(":")
        headers = (
            ("Host", HOST),
            ("X-Deadline-Ms", WAIT_MS),
            ("Content-Type", "application/json"),
            ("Content-Length", len(BODY)),
        )
        self.record.write("post", job=job_id, to=instance.number, zone=instance.zone)
        reader, writer = await asyncio.open_connection(host, int(port))
        with contextlib.closing(writer):
            lines = [f"POST /{SERVICE}/{job_id} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            head = "\r\n".join(lines).encode() + b"\r\n\r\n"
            writer.write(head + BODY)
            with contextlib.suppress(TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(WAIT_MS / 1_000):
                    answer = await reader.readuntil(b"\r\n\r\n")
                    status = answer.split(b" ")[1].decode()
                    self.record.write("answer", job=job_id, status=status)

    def grey_machines(self, zone: str) -> list[RunnerMachine]:
        """Return runners outside a zone with tasks of its jobs and of others."""
        inside = set(self.jobs_of_zone.get(zone, []))
        chosen = []
        for machine in self.world.runners.machines:
            jobs = {task.partition(".")[0] for task in machine.runner.running}
            if machine.runner.entry.zone != zone and jobs & inside and jobs - inside:
                chosen.append((len(jobs & inside), machine))
        chosen.sort(key=lambda one: one[0], reverse=True)
        return [machine for _, machine in chosen[:GREY_RUNNERS]]

    def crosses(self, zone: str, link: Link) -> bool:
        """Return whether a link leads into or out of a zone."""
        inside = {one.number for one in self.world.instances if one.zone == zone}
        targets = {instance_subject(one) for one in inside}
        targets |= {
            f"runner-{number}"
            for number, machine in enumerate(self.world.runners.machines)
            if machine.runner.entry.zone == zone
        }
        return (link.source in inside) != (link.target in targets)

    async def run(self, trouble: bool) -> None:
        """Fill the runners, cut the scheduler's zone off, and watch."""
        world = self.world
        world.operator.publish()
        for instance in world.instances:
            instance.start()
        ticking = asyncio.ensure_future(self.tick())
        await self.wait_until_ready()
        await asyncio.sleep(3)
        scheduler = world.scheduler()
        inside = [one for one in world.instances if one.zone == scheduler.zone]
        outside = [one for one in world.instances if one.zone != scheduler.zone]
        jobs = []
        for number in range(JOBS):
            one = random.choice(outside if number % 2 else inside)
            jobs.append(asyncio.ensure_future(self.submit(one)))
            await asyncio.sleep(0.02)
        await asyncio.sleep(1)
        grey = self.grey_machines(scheduler.zone)
        self.record.write("grey", runners=len(grey), trouble=trouble)
        if not grey:
            raise RuntimeError("no runner has tasks of both sides")
        if trouble:
            for machine in grey:
                machine.is_unhealthy = Sometimes(FAILING_SHARE)
                self.record.write("grey", runner=machine.runner.entry.runner_id)
            cut = Impairment(blocks_forward=True, blocks_backward=True)
            self.record.write("cut", zone=scheduler.zone)
            with world.impaired(lambda one: self.crosses(scheduler.zone, one), cut):
                await asyncio.sleep(CUT_S)
            self.record.write("healed", zone=scheduler.zone)
            for machine in grey:
                machine.is_unhealthy = False
        else:
            await asyncio.sleep(CUT_S)
        await asyncio.sleep(3)
        for one in (*jobs, ticking):
            one.cancel()

    async def wait_until_ready(self) -> None:
        """Ask all instances as the balancer does until they are ready."""
        for _ in range(100):
            answers = []
            for one in self.world.instances:
                host, _, port = one.readiness_address.rpartition(":")
                answers.append(await call(host, port, "GET", "/-/readyz", timeout_s=1))
            if all(status == 200 for status, _ in answers):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the instances did not become ready in 20 s")


async def main() -> int:
    """Run the case and return the exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(FOLDER / "record.txt")
    record.write("begin", trouble=trouble)
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        options = SoakOptions(
            random.randrange(10**6), Path(folder), INSTANCES, RUNNERS, 0
        )
        world = World(options)
        case = Case(world, record)
        try:
            await world.build()
            async with asyncio.timeout(100):
                await case.run(trouble)
        except Exception as error:
            record.write("could_not_run", error=repr(error))
            print(f"could not run: {error!r}")
            return 2
        finally:
            await world.close()
            if os.environ.get("LOGS"):
                for one in world.instances:
                    target = Path(os.environ["LOGS"], one.log_path.name)
                    target.write_bytes(one.log_path.read_bytes())
    for text in case.violations.values():
        print(text)
    record.write("finish", violations=len(case.violations))
    return 1 if case.violations else 0


if __name__ == "__main__":
    status = asyncio.run(main())
    sys.stdout.flush()
    os._exit(status)
