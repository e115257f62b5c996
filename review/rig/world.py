"""A small deployment on loopback addresses, and the record of what happens in it."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from rig.http import Client, Response, now
from rig.instance import Instance
from rig.runner import Run, Runner, Work
from rig.store import Store

HOST = "nony24.example"
ZONES = ["zone-a", "zone-b", "zone-c"]
LEADER_KEY = "own/scheduler"
CANCEL_S = 3.0
PORTS = 20
LONGEST_S = 110
START_S = 20.0


class CannotRun(Exception):
    """The case could not be played; its result says nothing."""


class World:
    """The processes and stand-ins of one play.

    Parameters
    ----------
    folder : Path
        The folder of the case, where `record.txt` is written.
    instances, runners : int
        How many of them.
    """

    def __init__(self, folder: Path, instances: int = 3, runners: int = 6) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = now()
        self._record = (folder / "record.txt").open("w")
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.works: dict[str, Work] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        """Time, task, run and runner of each start."""
        self.ends: list[tuple[float, str, int, str, str]] = []
        self.broken: list[str] = []
        ports = _free_ports()
        self.store_addresses = [
            ("127.0.0.1", ports + number) for number in range(min(instances, PORTS))
        ]
        hosts = [f"127.0.2.{number + 1}" for number in range(instances)]
        self.instances = [
            Instance(
                f"edge-{number + 1}",
                ZONES[number % len(ZONES)],
                host,
                ZONES,
                ports,
                self.store_addresses[number],
                hosts[:3],
                self._temporary,
            )
            for number, host in enumerate(hosts)
        ]
        self.runners = [
            Runner(
                f"i-{number + 1:08x}",
                ZONES[number % len(ZONES)],
                (f"127.0.3.{number + 1}", ports),
                self.store,
                self._work_of,
            )
            for number in range(runners)
        ]
        for runner in self.runners:
            runner.on_start = self._run_started
            runner.on_end = self._run_ended

    def log(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{now() - self.began:8.3f} {text}\n")
        self._record.flush()

    def break_rule(self, text: str) -> None:
        """Note that the rule was broken."""
        self.broken.append(text)
        self.log(f"BROKEN {text}")

    def _work_of(self, task: str) -> Work:
        return self.works.get(task.partition(".")[0], Work(1_000, 0.1))

    def _run_started(self, runner: Runner, run: Run, spec: str) -> None:
        self.starts.append((now(), run.task, run.number, runner.runner_id))
        self.log(f"start {run.task} run={run.number} on {runner.runner_id} spec={spec}")

    def _run_ended(self, runner: Runner, run: Run, how: str) -> None:
        self.ends.append((now(), run.task, run.number, runner.runner_id, how))
        self.log(f"end {run.task} run={run.number} on {runner.runner_id} {how}")

    def running(self, job: str) -> list[str]:
        """Return the tasks of a job that run at present."""
        return [
            run.task
            for runner in self.runners
            if runner.life is not None
            for run in runner.life.running.values()
            if run.task.startswith(job + ".")
        ]

    def starts_of(self, job: str) -> list[tuple[float, str, int, str]]:
        """Return the starts of a job's tasks."""
        return [one for one in self.starts if one[1].startswith(job + ".")]

    async def configure(self, document: dict) -> None:
        """Write the configuration, as the operator does."""
        await self.store.put("op/config", json.dumps(document).encode())
        self.log(f"config version={document['version']} acknowledged")

    async def begin(self, configuration: dict, kinds: list[tuple]) -> None:
        """Start everything and wait until all instances are ready.

        Parameters
        ----------
        configuration : dict
            The first configuration.
        kinds : list of tuple
            Service and labels of the runners, in turn.
        """
        for address in self.store_addresses:
            await self.store.listen(*address)
        await self.configure(configuration)
        for number, runner in enumerate(self.runners):
            service, labels = kinds[number % len(kinds)]
            await runner.start(service, labels)
        for instance in self.instances:
            instance.start()
        ready = await asyncio.gather(
            *(one.wait_ready(START_S) for one in self.instances)
        )
        if not all(ready):
            raise CannotRun("not all instances became ready")
        self.log("all instances are ready")
        await asyncio.sleep(4.0)

    def leader(self) -> Instance:
        """Return the instance that holds leadership according to the store."""
        item = self.store.items.get(LEADER_KEY)
        names = json.loads(item.value) if item else []
        for instance in self.instances:
            if instance.name in names:
                return instance
        raise CannotRun("no instance holds leadership")

    def followers(self) -> list[Instance]:
        """Return the other instances."""
        leader = self.leader()
        return [one for one in self.instances if one is not leader]

    async def submit(
        self,
        instance: Instance,
        prefix: str,
        job: str,
        wait_ms: int,
        step: dict,
        address: tuple[str, int] | None = None,
    ) -> Response:
        """Submit a best-effort job of one step and wait for its answer."""
        document = {"spec": f"spec of {job}", "steps": [step], "bestEffort": True}
        client = Client(address or instance.front)
        self.log(f"POST {prefix}{job} at {instance.name}")
        response = await client.call(
            "POST",
            prefix + job,
            HOST,
            document,
            {"X-Deadline-Ms": str(wait_ms)},
            wait_ms / 1_000 + 0.5,
        )
        client.close()
        self.log(
            f"answer to POST {job} at {instance.name}: "
            f"{response.status or response.failure} {response.body.decode()}"
        )
        return response

    async def cancel(self, instance: Instance, prefix: str, job: str) -> Response:
        """Cancel a job; repeated until the answer is neither 503 nor missing."""
        while True:
            client = Client(instance.front)
            response = await client.call("DELETE", prefix + job, HOST, wait_s=1.0)
            client.close()
            self.log(
                f"DELETE {job} at {instance.name}: "
                f"{response.status or response.failure} {response.body.decode()}"
            )
            if response.status and response.status != 503:
                return response
            await asyncio.sleep(0.02)

    def end(self) -> None:
        """End all processes and stand-ins."""
        for instance in self.instances:
            instance.end()
        for runner in self.runners:
            runner.crash()
        self.store.close()
        for instance in self.instances:
            self._keep_log(instance)
        shutil.rmtree(self._temporary, ignore_errors=True)

    def close_record(self) -> None:
        """Write what is left of the record."""
        self._record.close()

    def _keep_log(self, instance: Instance) -> None:
        """Copy the most important lines of an instance's log to the record."""
        if not instance.log_path.exists():
            return
        for line in instance.log_path.read_text().splitlines():
            if line.startswith("{") and '"level": "INFO"' not in line:
                self._record.write(f"log of {instance.name}: {line[:300]}\n")


def job_id() -> str:
    """Return a new job id."""
    return f"{random.getrandbits(64):016x}"


def route(name: str, prefix: str, service: str, timeout_ms: int) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "type": "non_idempotent",
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 60,
        "priority": 0,
        "service": service,
        "attempts": 4,
        "slackFactor": 1.6,
    }


def configuration(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConnections": 64,
                "protocol": "h1",
                "tls": False,
                "enforcesCapacity": True,
                "standby": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


def play(world: World, case: Callable[[World], Awaitable[None]]) -> int:
    """Play a case; return 0 if the rule held, 1 if not, 2 if it could not run."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await asyncio.wait_for(case(world), LONGEST_S)
        finally:
            world.end()

    try:
        asyncio.run(run())
    except (CannotRun, OSError, TimeoutError, asyncio.CancelledError) as error:
        world.log(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {error}", file=sys.stderr)
        return 2
    verdict = "the rule was broken" if world.broken else "the rule held"
    world.log(verdict)
    print(verdict, *world.broken[:5], sep="\n  ")
    world.close_record()
    return 1 if world.broken else 0


def _free_ports() -> int:
    """Return the first of twenty consecutive ports that are free on loopback."""
    for _ in range(200):
        first = random.randrange(20_000, 32_000 - PORTS)
        if all(_is_free(first + offset) for offset in range(PORTS)):
            return first
    raise CannotRun("no free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as candidate:
        try:
            candidate.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
