"""Tests of complete entry instances over loopback with stand-in servers."""

import hashlib
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import pytest
import urllib3
import yaml

from sassafrasloft.clock import SystemClock
from sassafrasloft.entry import EntryService, build_core
from sassafrasloft.entry.tests.helpers import WAIT_S
from sassafrasloft.errors import MalformedInput
from sassafrasloft.settings import (
    InstanceSettings,
    LimitSettings,
    MembershipSettings,
    PlatformSettings,
    RunnerSettings,
    ServiceSettings,
    TeamSettings,
    UpstreamSettings,
    settings_values,
)
from sassafrasloft.standins import PlatformLimits, RunnerLimits
from sassafrasloft.standins.platform_program import PlatformServer
from sassafrasloft.standins.runner_program import RunnerFleet

TOKEN = "secret"
TEAM = TeamSettings("paint", hashlib.sha256(TOKEN.encode()).hexdigest())


def free_addresses(count: int) -> list[str]:
    with ExitStack() as stack:
        taken = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _ in range(count)
        ]
        return [f"127.0.0.1:{one.getsockname()[1]}" for one in taken]


class Site:
    """Two instances, two runners and a platform within the test process."""

    def __init__(self) -> None:
        self.platform = PlatformServer("127.0.0.1:0", PlatformLimits())
        addresses = {"runner-1": "127.0.0.1:0", "runner-2": "127.0.0.2:0"}
        self.fleet = RunnerFleet(addresses, RunnerLimits())
        self.platform.start()
        self.fleet.start()
        free = free_addresses(6)
        self.settings = ServiceSettings(
            service="site",
            region="loopback",
            zones=("north",),
            instances=tuple(
                InstanceSettings(name, "north", *free[3 * n : 3 * n + 3])
                for n, name in enumerate(("one", "two"))
            ),
            runners=tuple(
                RunnerSettings(name, "north", address)
                for name, address in self.fleet.addresses.items()
            ),
            teams=(TEAM,),
            platform=PlatformSettings(address=self.platform.address),
            limits=LimitSettings(caller_threads=8),
            upstreams=UpstreamSettings(overdue_min_ms=300, overdue_max_ms=600),
            membership=MembershipSettings(balancer_lag_ms=100, drain_finish_ms=5_000),
        )
        self.services = {name: self._start(name) for name in ("one", "two")}

    def _start(self, name: str) -> EntryService:
        service = EntryService(build_core(self.settings, name), SystemClock())
        service.start()
        return service

    def request(self, instance: str, method: str, path: str, **options):
        address = self.services[instance].callers.addresses[0]
        headers = {"Authorization": f"Bearer {TOKEN}"}
        url = f"http://{address}{path}"
        options = {"timeout": 20.0, "retries": False, **options}
        return urllib3.request(method, url, headers=headers, **options)

    def new_id(self, instance: str) -> str:
        reply = self.request(instance, "POST", "/v1/submission-ids", json={})
        return reply.json()["submission_ids"][0]

    def submit(self, instance: str, submission_id: str, run_ms: list[int]) -> dict:
        tasks = [
            {"name": f"t{n}", "payload": f"run_ms={one}"}
            for n, one in enumerate(run_ms)
        ]
        path = f"/v1/jobs/{submission_id}?wait_ms=15000"
        body = {"tasks": tasks}
        return self.request(instance, "PUT", path, json=body).json()

    def starts(self) -> int:
        return sum(len(host.logic.starts) for host in self.fleet.hosts.values())

    def close(self) -> None:
        for service in self.services.values():
            service.stop(grace_ms=200)
        self.fleet.stop()
        self.platform.stop()


@pytest.fixture
def site() -> Iterator[Site]:
    one = Site()
    yield one
    one.close()


def test_a_job_resubmitted_to_another_instance_gets_the_same_answer(site):
    """Guards against a forwarded job that runs twice or loses its answer."""
    submission_id = site.new_id("one")
    first = site.submit("one", submission_id, [20, 10, 30])
    assert [one["result"] for one in first["outcomes"]] == [
        "done t0",
        "done t1",
        "done t2",
    ]
    again = site.submit("two", submission_id, [20, 10, 30])
    assert (again["fate"], again["outcomes"]) == ("complete", first["outcomes"])
    assert site.starts() == 3


def test_jobs_complete_when_connections_to_runners_stop_responding(site):
    """Guards against a job that waits for a reply on an unresponsive connection."""
    assert site.submit("one", site.new_id("one"), [10] * 8)["fate"] == "complete"
    for address in site.fleet.addresses.values():
        url = f"http://{address}/v1/control"
        urllib3.request("POST", url, json={"silent": True})
    assert site.submit("one", site.new_id("one"), [10] * 4)["fate"] == "complete"
    keys = [one.key for host in site.fleet.hosts.values() for one in host.logic.starts]
    assert len(keys) == len(set(keys)) == 12


def test_a_runner_restart_fails_its_tasks_and_the_runner_is_used_again(site):
    """Guards against a job that waits forever for a runner that lost its tasks."""
    with ThreadPoolExecutor(1) as threads:
        found = threads.submit(site.submit, "one", site.new_id("one"), [60_000])
        hosts = list(site.fleet.hosts.values())
        while not site.starts():
            assert not found.done()
        for host in hosts:
            host.control({"restart": True})
        answer = found.result(WAIT_S * 2)
    assert (answer["fate"], answer["outcomes"]) == ("failed_may_have_run", [])
    assert site.submit("one", site.new_id("one"), [10, 10])["fate"] == "complete"


def test_a_platform_outage_does_not_stop_jobs(site):
    """Guards against a dependency of job processing on the platform."""
    site.platform.application.logic.faults.outage = True
    assert site.submit("two", site.new_id("two"), [10, 10])["fate"] == "complete"


def test_a_planned_stop_ends_when_open_requests_are_answered(site):
    """Guards against a planned stop that interrupts a request or never completes."""
    service = site.services["one"]
    submission_id = site.new_id("one")
    address = service.operators.addresses[0]
    drained = urllib3.request("POST", f"http://{address}/drain", timeout=WAIT_S)
    assert drained.json()["leaving"]
    assert site.request("one", "GET", "/health").status == 503
    assert site.submit("one", submission_id, [300, 300])["fate"] == "complete"
    assert service.exited.wait(20)
    metrics = urllib3.request("GET", f"http://{address}/metrics", timeout=WAIT_S)
    assert b'violations_total{invariant="planned_stop_cuts_nothing"} 0' in metrics.data


def test_the_program_rejects_invalid_settings_and_stops_on_sigterm(site, tmp_path):
    """Guards against a start with invalid settings and against an ignored signal."""
    path = tmp_path / "base.yaml"
    path.write_text("service: site\n")
    command = [sys.executable, "-m", "sassafrasloft.entry", f"--settings={path}"]
    bad = subprocess.run(
        [*command, "--instance=three"], capture_output=True, text=True, timeout=30
    )
    assert bad.returncode == 1
    assert "base.yaml" in bad.stderr
    site.services.pop("two").stop()
    path.write_text(yaml.safe_dump(settings_values(site.settings)))
    process = subprocess.Popen([*command, "--instance=two"], stderr=subprocess.PIPE)
    with process:
        # The first log line appears after the first reply of the platform.
        assert b"platform_available" in process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0


def test_an_unknown_instance_name_raises_a_typed_error(site):
    """Guards against a traceback when an operator mistypes an instance name."""
    with pytest.raises(MalformedInput, match="one, two"):
        build_core(site.settings, "three")
