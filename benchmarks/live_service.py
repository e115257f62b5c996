"""A whole service of real processes on loopback, for demonstrations and trials.

The driver that uses this is no part of the system: no process of the system
starts another one. It ends only the processes that it started, by their ids.
"""

import hashlib
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import attrs
import urllib3
import yaml

from sassafrasloft.callers import CallerTransport, DispatcherClient
from sassafrasloft.jobs import JobSpec, TaskSpec

TEAM = "demo-team"
TOKEN = "demo-team-example"
ZONES = ("north", "south", "east")
START_TIMEOUT_S = 20.0
POLL_S = 0.05


@attrs.frozen
class Layout:
    """How many processes a trial has.

    Parameters
    ----------
    overrides : dict
        Sections of the settings that differ from the defaults.
    """

    instances: int = 3
    runners: int = 12
    slots: int = 8
    overrides: dict[str, dict[str, Any]] = attrs.field(factory=dict)


@attrs.frozen
class StartCount:
    """What the runners' own records say."""

    starts: int
    distinct: int
    twice: tuple[str, ...]


class LiveService:
    """Starts the processes on entering and ends them on leaving.

    Parameters
    ----------
    layout : Layout
        The processes.
    """

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self.processes: dict[str, subprocess.Popen] = {}
        self._directory = Path(tempfile.mkdtemp(prefix="sassafrasloft-"))
        ports = _free_ports(1 + layout.runners + 3 * layout.instances)
        self.platform = f"127.0.0.1:{ports.pop()}"
        self.runners = {
            f"runner-{n + 1}": f"127.0.0.1:{ports.pop()}" for n in range(layout.runners)
        }
        self.instances = {
            f"{ZONES[n % 3]}-{n // 3 + 1}": {
                "zone": ZONES[n % 3],
                "callers_address": f"127.0.0.1:{ports.pop()}",
                "peers_address": f"127.0.0.1:{ports.pop()}",
                "operators_address": f"127.0.0.1:{ports.pop()}",
            }
            for n in range(layout.instances)
        }

    def __enter__(self) -> "LiveService":
        """Start all processes and wait until they serve."""
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """End all processes that still run."""
        self.close()

    @property
    def callers(self) -> dict[str, str]:
        """The callers' address of each instance."""
        return {name: one["callers_address"] for name, one in self.instances.items()}

    def client(self, *names: str) -> DispatcherClient:
        """Return a client that prefers instances in the given order."""
        addresses = tuple(self.callers[name] for name in names)
        return DispatcherClient(CallerTransport(addresses, TOKEN))

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this service started."""
        self.processes[name].send_signal(number)

    def wait(self, name: str, timeout_s: float) -> int:
        """Return the exit code of a process once it ended."""
        return self.processes[name].wait(timeout_s)

    def starts(self) -> StartCount:
        """Return what all runners recorded."""
        found: Counter[str] = Counter()
        for record in self.start_records():
            found[f"{record['submission_id']}/{record['index']}"] += 1
        twice = tuple(key for key, count in found.items() if count > 1)
        return StartCount(found.total(), len(found), twice)

    def start_records(self) -> list[dict[str, Any]]:
        """Return every start that the runners recorded."""
        records = []
        for address in self.runners.values():
            records += self.get(address, "/v1/starts")["starts"]
        return records

    def runner_messages(self) -> Counter[str]:
        """Return the messages that all runners received, by kind."""
        total: Counter[str] = Counter()
        for address in self.runners.values():
            total.update(self.get(address, "/v1/starts")["messages"])
        return total

    def operators(self, name: str) -> str:
        """Return the operators' address of an instance."""
        return self.instances[name]["operators_address"]

    def get(self, address: str, path: str) -> Any:
        """Return a JSON body."""
        url = f"http://{address}{path}"
        return urllib3.request("GET", url, timeout=5.0, retries=False).json()

    def log_of(self, name: str) -> str:
        """Return what a process wrote to standard error."""
        return (self._directory / f"{name}.log").read_text()

    def close(self) -> None:
        """End what still runs, by process id."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(5)
        shutil.rmtree(self._directory, ignore_errors=True)

    def _start(self) -> None:
        path = self._directory / "settings.yaml"
        path.write_text(yaml.safe_dump(self._settings(), sort_keys=False))
        standins = "sassafrasloft.standins"
        self._spawn(
            "platform", f"{standins}.platform_program", f"--listen={self.platform}"
        )
        runners = [f"--runner={name}={one}" for name, one in self.runners.items()]
        self._spawn(
            "runners",
            f"{standins}.runner_program",
            f"--slots={self.layout.slots}",
            *runners,
        )
        for address in self.runners.values():
            self._wait_for(address, "/v1/probe", "runners")
        for name in self.instances:
            self._spawn(
                name, "sassafrasloft.entry", f"--settings={path}", f"--instance={name}"
            )
        for name, address in self.callers.items():
            self._wait_for(address, "/health", name)
        for name in self.instances:
            self._wait_for_runners(name)

    def _settings(self) -> dict[str, Any]:
        names = enumerate(self.runners.items())
        settings: dict[str, Any] = {
            "service": "demo",
            "region": "loopback",
            "zones": list(ZONES),
            "platform": {"address": self.platform},
            "instances": self.instances,
            "runners": {
                name: {
                    "zone": ZONES[n % 3],
                    "address": address,
                    "slots": self.layout.slots,
                }
                for n, (name, address) in names
            },
            "teams": {
                TEAM: {
                    "token_sha256": hashlib.sha256(TOKEN.encode()).hexdigest(),
                    "max_running": self.layout.runners * self.layout.slots,
                }
            },
        }
        for section, values in self.layout.overrides.items():
            settings[section] = {**settings.get(section, {}), **values}
        return settings

    def _spawn(self, name: str, module: str, *flags: str) -> None:
        with open(self._directory / f"{name}.log", "wb") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *flags],
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[1])},
            )

    def _wait_for(self, address: str, path: str, name: str) -> None:
        def answers() -> bool:
            try:
                self.get(address, path)
            except (urllib3.exceptions.HTTPError, OSError):
                return False
            return True

        self._until(answers, name, "does not serve")

    def _wait_for_runners(self, name: str) -> None:
        """Wait until an instance knows every runner."""

        def knows() -> bool:
            status = self.get(self.operators(name), "/status")
            return all(one["incarnation"] for one in status["upstreams"].values())

        self._until(knows, name, "does not know all runners")

    def _until(self, holds: Any, name: str, problem: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while not holds():
            if self.processes[name].poll() is not None or time.monotonic() > deadline:
                raise RuntimeError(f"{name} {problem}:\n{self.log_of(name)[-2000:]}")
            time.sleep(POLL_S)


def make_job(label: str, run_ms: list[int]) -> JobSpec:
    """Return a job whose tasks truly run for the given times."""
    tasks = tuple(
        TaskSpec(f"{label}-{n}", payload=f"run_ms={one}", run_ms=one)
        for n, one in enumerate(run_ms)
    )
    return JobSpec(TEAM, tasks)


def _free_ports(count: int) -> list[int]:
    """Return free ports; they are held together so that they differ."""
    with ExitStack() as stack:
        taken = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _ in range(count)
        ]
        return [one.getsockname()[1] for one in taken]
