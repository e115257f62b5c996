"""Tests of ejection, return to service, notices of peers and leaving runners."""

import pytest

from sassafrasloft.core import (
    PeerMessageReceived,
    PlatformReplied,
    Probe,
    ProbeReported,
    TaskSent,
    TimerFired,
)
from sassafrasloft.errors import InvariantViolated
from sassafrasloft.jobs import RunnerCapacity, TaskKey
from sassafrasloft.messages import Gossip, RunnerNotice
from sassafrasloft.messages.platform_calls import InstanceList, ListedInstance
from sassafrasloft.state import Health
from sassafrasloft.upstreams import assert_not_leaving
from sassafrasloft.upstreams.tests.builders import Driver, make_settings


@pytest.fixture
def driver():
    one = Driver(make_settings(runners=6))
    one.start()
    return one


def run_task(driver, runner, state, job=None):
    """Run one task of a new job, or of the given job, on a runner."""
    key = TaskKey(job or driver.add_job(), 0)
    delivery = f"d{driver.board.fresh_id('x')}"
    driver.step(TaskSent(key, runner, delivery))
    driver.report(key, state, runner, delivery, free=8)


def gossip(driver, peer, ejected=(), leaving=(), running=None):
    message = Gossip(
        peer,
        "aa",
        1,
        0,
        runners_ejected=tuple(RunnerNotice(name, inc) for name, inc in ejected),
        runners_leaving=tuple(RunnerNotice(name, inc) for name, inc in leaving),
        running_by_runner=running or {},
    )
    driver.step(PeerMessageReceived(peer, message))


def list_runner(driver, name, state, incarnation):
    entry = ListedInstance(name, "runner", "north", incarnation, state)
    driver.board.platform.listed = {f"runner/{name}": entry}
    driver.board.platform.listed_ms = driver.now
    driver.step(PlatformReplied("c1", InstanceList((entry,))), after_ms=1)


def health(driver, name="r0"):
    return driver.runners[name].health


@pytest.mark.parametrize(
    ("elsewhere", "expected"),
    [("complete", Health.EJECTED), ("failed", Health.HEALTHY)],
)
def test_two_failures_eject_a_runner_only_while_tasks_succeed_elsewhere(
    driver, elsewhere, expected
):
    """Guards against late ejection, and against ejection for faults of the tasks."""
    for number in range(25):
        run_task(driver, f"r{1 + number % 5}", "complete")
    run_task(driver, "r1", elsewhere)
    run_task(driver, "r0", "failed")
    run_task(driver, "r0", "failed")
    assert health(driver) is expected


def test_a_runner_that_fails_every_job_is_ejected_and_probed(driver):
    """Guards against a worker that seems fast because all its tasks fail at once."""
    for _ in range(3):
        assert health(driver) is Health.HEALTHY
        run_task(driver, "r0", "failed")
    assert health(driver) is Health.EJECTED
    driver.now += 5_000
    assert Probe("r0") in driver.step(TimerFired("upstreams.probe"))
    capacity = RunnerCapacity("i-r0", 8)
    driver.step(ProbeReported("r0", True, True, capacity))
    assert health(driver) is Health.HEALTHY
    assert driver.runners["r0"].on_probation
    run_task(driver, "r0", "failed")
    assert health(driver) is Health.EJECTED
    assert driver.runners["r0"].ejected_until_ms == driver.now + 10_000


def test_repeated_failures_of_one_job_eject_no_runner(driver):
    """Guards against ejecting a healthy runner because of one faulty job."""
    job = driver.add_job()
    for _ in range(10):
        run_task(driver, "r0", "failed", job)
    assert health(driver) is Health.HEALTHY


def test_no_runner_is_ejected_while_all_runners_fail(driver):
    """Guards against an outage caused by ejections when the tasks are faulty."""
    for _ in range(12):
        for name in driver.runners:
            run_task(driver, name, "failed")
    assert all(health(driver, name) is Health.HEALTHY for name in driver.runners)


def test_the_share_of_ejected_runners_stays_within_the_limit(driver):
    """Guards against ejecting all runners of the service one after another."""
    for name in driver.runners:
        for other in driver.runners:
            run_task(driver, other, "complete")
        for _ in range(5):
            run_task(driver, name, "failed")
        driver.now += 20_000
    ejected = [name for name in driver.runners if health(driver, name) != "healthy"]
    assert ejected == ["r0", "r1"]


def test_ejections_by_peers_lower_the_threshold_but_do_not_eject(driver):
    """Guards against one faulty instance that ejects a runner on all instances."""
    gossip(driver, "two", ejected=[("r0", "i-r0")])
    gossip(driver, "two", ejected=[("r0", "i-r0")])
    assert health(driver) is Health.HEALTHY
    gossip(driver, "three", ejected=[("r0", "i-r0")])
    assert health(driver) is Health.HEALTHY
    run_task(driver, "r0", "failed")
    assert health(driver) is Health.EJECTED


def test_a_notice_about_another_incarnation_is_ignored(driver):
    """Guards against ejecting a restarted runner for its previous incarnation."""
    for peer in ("two", "three", "four"):
        gossip(driver, peer, ejected=[("r0", "old")], leaving=[("r0", "old")])
    assert health(driver) is Health.HEALTHY
    assert not driver.runners["r0"].leaving


def test_a_notice_that_is_withdrawn_no_longer_counts(driver):
    """Guards against counting an ejection that the peer no longer reports."""
    gossip(driver, "two", ejected=[("r0", "i-r0")])
    gossip(driver, "two")
    assert driver.runners["r0"].peers_ejecting == 0


def test_a_leaving_runner_is_detected_from_each_source(driver):
    """Guards against work for a leaving runner because one source is delayed."""
    key = TaskKey(driver.add_job(), 0)
    driver.step(TaskSent(key, "r0", "d9"))
    driver.report(key, "refused", delivery="d9", reason="leaving")
    gossip(driver, "two", leaving=[("r1", "i-r1")])
    list_runner(driver, "r2", "leaving", "i-r2")
    left = [name for name, state in driver.runners.items() if state.leaving]
    assert left == ["r0", "r1", "r2"]


def test_a_list_entry_applies_only_to_the_incarnation_it_names(driver):
    """Guards against an outdated list that takes a restarted runner out of service."""
    list_runner(driver, "r0", "leaving", "old")
    assert not driver.runners["r0"].leaving
    list_runner(driver, "r0", "leaving", "i-r0")
    list_runner(driver, "r0", "live", "i-r0")
    assert not driver.runners["r0"].leaving


def test_a_restarted_runner_returns_to_service(driver):
    """Guards against a runner that stays out of service after a planned restart."""
    gossip(driver, "two", leaving=[("r0", "i-r0")])
    capacity = RunnerCapacity("i-new", 8)
    driver.step(ProbeReported("r0", True, True, capacity))
    assert not driver.runners["r0"].leaving
    assert driver.runners["r0"].incarnation == "i-new"


def test_work_for_a_leaving_runner_violates_the_invariant(driver):
    """Guards against a check of leaving_gets_no_work that never fails."""
    gossip(driver, "two", leaving=[("r0", "i-r0")])
    state = driver.runners["r0"]
    state.leaving = False
    assert_not_leaving(driver.board, state)
    driver.now += 3_001
    driver.step(TimerFired("none"))
    with pytest.raises(InvariantViolated, match="leaving_gets_no_work"):
        assert_not_leaving(driver.board, state)


def test_gossip_of_peers_that_are_not_heard_from_is_discarded(driver):
    """Guards against slots that stay counted as used by a peer that is gone."""
    gossip(driver, "two", running={"r0": 5})
    gossip(driver, "three", running={"r0": 2})
    assert driver.runners["r0"].peers_running == 7
    driver.now += 2_000
    gossip(driver, "three", running={"r0": 1})
    driver.now += 2_000
    driver.step(TimerFired("none"))
    assert driver.runners["r0"].peers_running == 1
