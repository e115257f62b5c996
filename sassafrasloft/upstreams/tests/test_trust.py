"""Tests of runner processes that are first seen while a fence is possible."""

import pytest

from sassafrasloft.core import ProbeReported, TaskSent
from sassafrasloft.jobs import RunnerCapacity, TaskKey
from sassafrasloft.upstreams.tests.builders import Driver, make_settings

LEASE_EXPIRED_MS = 60_000


@pytest.fixture
def driver():
    one = Driver(make_settings(runners=3))
    one.start()
    return one


def restart(driver, name="r0"):
    """Report a new process of a runner to the instance."""
    capacity = RunnerCapacity(f"new-{name}", 8)
    driver.step(ProbeReported(name, True, True, capacity))


def send(driver, runner):
    """Send a task whose submission id contains the incarnation of the instance."""
    own = driver.board.identity.incarnation
    job = driver.add_job()
    record = driver.board.jobs.running.pop(job)
    # Submission ids made by the builder contain no incarnation.
    key = TaskKey(f"one.{own}.{len(driver.board.jobs.running)}{driver.now}.0.ff", 0)
    record.submission_id = key.submission_id
    driver.board.jobs.running[key.submission_id] = record
    driver.step(TaskSent(key, runner, f"d{driver.now}"))
    return key, f"d{driver.now}"


def test_a_restarted_runner_is_trusted_after_a_recent_lease_renewal(driver):
    """Guards against losing capacity after an ordinary restart of a runner."""
    driver.now += LEASE_EXPIRED_MS
    driver.board.upstreams.unfenced_ms = driver.now - 5_000
    driver.board.platform.lease_renewed_ms = driver.now - 1_000
    restart(driver)
    assert driver.runners["r0"].trusted


def test_a_restarted_runner_gets_no_work_until_a_known_runner_took_a_task(driver):
    """Guards against a start after "not run" on a runner that lost its fence."""
    driver.now += LEASE_EXPIRED_MS
    early = send(driver, "r1")
    driver.now += 10
    restart(driver)
    driver.board.platform.lease_renewed_ms = driver.now  # Too late as a proof.
    driver.report(early[0], "complete", "r1", early[1])
    assert not driver.runners["r0"].trusted
    driver.now += 10
    later = send(driver, "r1")
    driver.report(later[0], "complete", "r1", later[1])
    assert driver.runners["r0"].trusted


def test_tasks_run_by_an_untrusted_process_make_no_other_process_trusted(driver):
    """Guards against two restarted runners that make each other trusted."""
    driver.now += LEASE_EXPIRED_MS
    early = send(driver, "r1")
    restart(driver, "r0")
    restart(driver, "r1")
    driver.now += 10
    driver.report(early[0], "complete", "r1", early[1])
    assert not driver.runners["r0"].trusted and not driver.runners["r1"].trusted
