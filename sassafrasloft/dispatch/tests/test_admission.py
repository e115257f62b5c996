"""Tests of the admission policies."""

import attrs
import pytest

from sassafrasloft.core import JobAccepted
from sassafrasloft.dispatch import DispatchController, admission_refusal, admissions
from sassafrasloft.jobs import Fate, JobSpec, TaskSpec
from sassafrasloft.settings import DispatchSettings, LimitSettings
from sassafrasloft.state import Health
from sassafrasloft.upstreams.tests.builders import Driver, make_settings


def make_driver(admission="bounded", **limits):
    settings = attrs.evolve(
        make_settings(runners=2, instances=("one",)),
        limits=LimitSettings(**limits),
        dispatch=DispatchSettings(admission=admission),
    )
    driver = Driver(settings, (DispatchController(),))
    driver.start()
    return driver


def refusal(driver, tasks, team="clubs", **spec):
    deadline_ms = spec.pop("deadline_ms", 60_000)
    specs = tuple(TaskSpec(f"t{place}", **spec) for place in range(tasks))
    return admission_refusal(driver.board, JobSpec(team, specs, deadline_ms))


def fill(driver, tasks, team="clubs", **spec):
    driver.step(JobAccepted(driver.add_job(tasks, team, **spec)))


def assert_overloaded(answer):
    assert answer.fate is Fate.NOT_RUN
    assert answer.kind == "overloaded"
    assert answer.retry_after_ms >= 200
    assert answer.remedy


@pytest.mark.parametrize("admission", sorted(admissions()))
def test_the_queue_is_bounded(admission):
    """Guards against a queue that grows without bound."""
    driver = make_driver(admission, max_waiting_tasks=100)
    assert refusal(driver, 100) is None
    fill(driver, 16 + 60)
    assert_overloaded(refusal(driver, 41, team="shops"))
    assert refusal(driver, 40, team="shops") is None


def test_burst_of_one_team_leaves_queue_capacity_for_others():
    """Guards against one team that takes the whole queue."""
    driver = make_driver(max_waiting_tasks=100)
    fill(driver, 16 + 50)
    assert_overloaded(refusal(driver, 1))
    assert refusal(driver, 30, team="shops") is None


def test_a_long_wait_is_refused_early_for_the_team_that_waits():
    """Guards against accepting jobs that would time out in the queue."""
    driver = make_driver(max_queue_wait_ms=2_000)
    fill(driver, 16 + 170, run_ms=200)
    assert_overloaded(refusal(driver, 1))
    assert refusal(driver, 1, team="shops") is None
    driver = make_driver()
    fill(driver, 16 + 170, run_ms=200)
    assert refusal(driver, 1) is None
    assert_overloaded(refusal(driver, 1, deadline_ms=1_000))


def test_jobs_are_refused_with_retry_after_when_no_runner_is_usable():
    """Guards against accepting jobs while no runner is usable."""
    driver = make_driver()
    for state in driver.runners.values():
        state.health = Health.UNREACHABLE
    assert_overloaded(refusal(driver, 1))


def test_a_starting_instance_accepts_jobs_before_the_probes_return():
    """Guards against refusing the first jobs after a restart."""
    driver = make_driver()
    for state in driver.runners.values():
        state.incarnation = ""
    assert refusal(driver, 1) is None


def test_a_task_that_fits_no_runner_is_refused():
    """Guards against a job that waits until its deadline although it cannot run."""
    driver = make_driver()
    answer = refusal(driver, 1, accelerators=1)
    assert answer.fate is Fate.NOT_RUN
    assert answer.kind == "too_large"
    assert "t0" in answer.detail
