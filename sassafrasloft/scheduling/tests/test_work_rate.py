"""Tests of the arrival rate of work."""

import pytest

from sassafrasloft.scheduling.work_rate import TIME_CONSTANT_MS, WorkRate


def test_a_steady_load_is_measured_in_millicores():
    rate = WorkRate()
    for now in range(0, 20 * TIME_CONSTANT_MS, 10):
        rate.record("desk", 14_000 * 10, now)
    assert rate.millicores("desk", 20 * TIME_CONSTANT_MS) == pytest.approx(
        14_000, rel=0.05
    )


def test_the_rate_decays_after_the_load_has_ended():
    """Guards against refusing caller retries long after a burst of new jobs."""
    rate = WorkRate()
    rate.record("desk", 14_000 * TIME_CONSTANT_MS, 0)
    assert rate.millicores("desk", 5 * TIME_CONSTANT_MS) < 140


def test_each_service_has_its_own_rate():
    rate = WorkRate()
    rate.record("desk", 1_000, 0)
    assert rate.millicores("host", 0) == 0.0
