"""Stand-ins and callers for `benchmarks.instance_edges`, in a process of their own.

Prints the addresses as one JSON line, then answers each line on standard input, which
is the address of an instance, by jobs for it and a JSON line of what came of them.
"""

import asyncio
import json
import sys
from pathlib import Path

ROOT = Path(__file__).parents[1]
sys.path[1:1] = [str(ROOT / "platform"), str(ROOT / "platform" / "tests")]

from soak.standin_servers import RunnerServer, StoreServer  # noqa: E402

from sassafrasloft.event_loop.http_client import CallResponse, HttpClient  # noqa: E402
from sassafrasloft.event_loop.http_messages import request_bytes  # noqa: E402
from sassafrasloft.runs import RunnerEntry  # noqa: E402
from sassafrasloft.standins.lease_runner import (  # noqa: E402
    LeaseRunnerStandin,
    StandinTask,
)
from sassafrasloft.workload import Resources  # noqa: E402

RUNNERS = 24
ROOM = Resources(32_000, 64_000, 0)
TASK_MS = 60
TASKS_PER_JOB = 4
JOBS = 600
JOBS_PER_SECOND = 60
HOST = "desk.example"
DEADLINE_MS = 1_500
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": HOST,
            "prefix": "/a/",
            "service": "desk",
            "attempts": 2,
            "slackFactor": 1.6,
            "targetLatencyMs": 60,
            "timeoutMs": DEADLINE_MS,
        }
    ],
    "services": [],
}
STEP = {"count": TASKS_PER_JOB, "cpu": 4_000, "memMb": 64, "estimateMs": TASK_MS}
JOB = json.dumps({"spec": "x" * 60, "steps": [STEP], "bestEffort": True}).encode()


async def start_servers() -> tuple[StoreServer, list[RunnerServer]]:
    """Start a store that lists a configuration and all runners."""
    store = StoreServer()
    await store.start()
    runners = []
    task = StandinTask(Resources(STEP["cpu"], STEP["memMb"], 0), TASK_MS)
    for number in range(RUNNERS):
        entry = RunnerEntry(f"i-{number}", "desk", "", "north", False, ROOM, (), 5)
        runner = RunnerServer(LeaseRunnerStandin(entry, lambda _: task))
        await runner.start()
        runners.append(runner)
        document = {
            "service": "desk",
            "address": runner.address,
            "zone": "north",
            "state": "ready",
            "capacity": {"cpu": ROOM.millicores, "memMb": ROOM.memory_mb},
            "labels": ["a"],
            "born": 5,
        }
        store.store.put(f"servers/i-{number}", json.dumps(document).encode())
    store.store.put("op/config", json.dumps(CONFIGURATION).encode())
    return store, runners


async def submit_jobs(address: str, first: int) -> dict[str, int]:
    """Submit jobs at a steady rate; return the number of answers by status."""
    loop = asyncio.get_running_loop()
    client = HttpClient(64)
    answers = []
    begin = loop.time()
    for number in range(JOBS):
        await asyncio.sleep(begin + number / JOBS_PER_SECOND - loop.time())
        answer = loop.create_future()
        headers = (("X-Deadline-Ms", str(DEADLINE_MS)),)
        request = request_bytes("POST", f"/a/{first + number:016x}", HOST, JOB, headers)
        client.send(address, request, DEADLINE_MS + 500, answer.set_result)
        answers.append(answer)
    counts: dict[str, int] = {}
    for answer in answers:
        result = await answer
        status = result.status if isinstance(result, CallResponse) else result.value
        counts[str(status)] = counts.get(str(status), 0) + 1
    return counts


async def main() -> None:
    """Serve until standard input ends."""
    store, runners = await start_servers()
    addresses = {"store": store.address, "runners": [one.address for one in runners]}
    print(json.dumps(addresses), flush=True)
    first = 0
    while line := await asyncio.to_thread(sys.stdin.readline):
        print(json.dumps(await submit_jobs(line.strip(), first)), flush=True)
        first += JOBS


if __name__ == "__main__":
    asyncio.run(main())
