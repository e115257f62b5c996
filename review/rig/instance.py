"""An instance of the project's program as a process."""

import asyncio
import json
import os
import signal
import subprocess
import tomllib
from pathlib import Path

from rig.http import Client, now

ROOT = Path(__file__).resolve().parent.parent.parent
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
    "recoveryS": 12, "holdMaxMs": 1000, "stopTimeoutMs": 50,
    "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "remoteFactor": 1.5,
    "checkpointS": 2, "restoreMs": 250, "noticeMs": 4500, "moveS": 1.5,
    "maintenanceS": 2, "fencingRequired": False, "leaseMs": 3000,
    "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000, "resendMs": 1300,
}  # fmt: skip
"""The bounds of the site cestas-plata, as DEPLOY.md shows them."""


class Instance:
    """A process of the role `instance` of the deploy file.

    Parameters
    ----------
    name, zone, ip : str
    zones : list of str
    ports : int
        The first of twenty ports that are the same on all machines.
    store : tuple
        Address of the store.
    seeds : list of str
        Hosts of at most three machines.
    folder : Path
        Where its settings and its log are.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        zones: list[str],
        ports: int,
        store: tuple[str, int],
        seeds: list[str],
        folder: Path,
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front = (ip, ports)
        self.ready_address = (ip, ports + 1)
        self.process: subprocess.Popen | None = None
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.json"
        document = {
            "nodeName": name,
            "role": "instance",
            "machineClass": "edge",
            "serves": ["edge", "control"],
            "ip": ip,
            "zone": zone,
            "region": "region-1",
            "zones": dict.fromkeys(zones, "region-1"),
            "listen": {
                "front": f"{ip}:{ports}",
                "ready": f"{ip}:{ports + 1}",
                "control": f"{ip}:{ports + 2}",
            },
            "internalPorts": [ports + 3, ports + 18],
            "seeds": [f"{seed}:{ports + 2}" for seed in seeds],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {
                "cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100,
                "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched",
                          "platform", "advice", "upkeep", "sharing"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "commands": "invocation",
            "advice": f"127.0.0.9:{ports}",
            "platform": {
                "address": f"{store[0]}:{store[1]}", "form": "kv", "writesPerS": 400,
                "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
            "cloudApi": {"address": f"127.0.0.9:{ports + 1}", "ratePerS": 60.0,
                         "duties": [], "dutiesPerS": 60.0},
        }  # fmt: skip
        self._settings_path.write_text(json.dumps(document))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        words = role["instance"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SASSAFRASLOFT_BOOT": str(self._settings_path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill and reap the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait(10)

    async def is_ready(self) -> bool:
        """Return whether the instance answers its readiness check with 200."""
        client = Client(self.ready_address)
        response = await client.call("GET", "/-/readyz", "balancer", wait_s=1.0)
        client.close()
        return response.status == 200

    async def wait_ready(self, seconds: float) -> bool:
        """Wait until the instance is ready; return whether it is in time."""
        ends_at = now() + seconds
        while now() < ends_at:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False
