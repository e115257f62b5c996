"""The rate at which work arrives."""

import pytest

from sassafrasloft.scheduling.work_rate import WINDOW_MS, WorkRate


def test_a_steady_load_is_measured_in_millicores():
    rate = WorkRate()
    for now in range(0, 20 * WINDOW_MS, 10):
        rate.note("desk", 14_000 * 10, now)
    assert rate.millicores("desk", 20 * WINDOW_MS) == pytest.approx(14_000, rel=0.05)


def test_a_load_that_has_ended_is_forgotten():
    """Guards against refusing late jobs long after a burst of new ones."""
    rate = WorkRate()
    rate.note("desk", 14_000 * WINDOW_MS, 0)
    assert rate.millicores("desk", 5 * WINDOW_MS) < 140


def test_services_are_measured_apart():
    rate = WorkRate()
    rate.note("desk", 1_000, 0)
    assert rate.millicores("host", 0) == 0.0
