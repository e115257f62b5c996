"""Tests of which new jobs an instance submits to an overloaded scheduler."""

import pytest

from sassafrasloft.gateway.intake import IntakeFilter
from sassafrasloft.testing.fleet.tests.situations import LOOKUP, ORDER

FULL_TIMEOUT_MS = LOOKUP.timeout_ms


@pytest.mark.parametrize("share", [0.02, 0.25, 0.5, 0.9])
def test_each_route_is_admitted_by_its_share(share):
    """Guards against one route whose jobs are refused in favour of another route."""
    intake = IntakeFilter()
    admitted = {LOOKUP.name: 0, ORDER.name: 0}
    for number in range(3_000):
        route = ORDER if number % 3 == 0 else LOOKUP
        admitted[route.name] += intake.admits(route, False, share)
    assert admitted[LOOKUP.name] == pytest.approx(2_000 * share, abs=2)
    assert admitted[ORDER.name] == pytest.approx(1_000 * share, abs=2)


def test_caller_retry_is_always_admitted():
    """Guards against reporting a job as not run that an earlier attempt started."""
    intake = IntakeFilter()
    for _ in range(10):
        intake.admits(LOOKUP, False, 0.02)
    assert intake.admits(LOOKUP, True, 0.02)


def test_all_jobs_are_admitted_without_limit():
    """Guards against refusals without overload, and right after a limit is lifted."""
    intake = IntakeFilter()
    for _ in range(10):
        intake.admits(LOOKUP, False, 0.1)
    assert all(intake.admits(LOOKUP, False, 1.0) for _ in range(100))
