"""Which new jobs an instance hands in to an overloaded scheduler."""

import pytest

from sassafrasloft.gateway.intake import IntakeShare
from sassafrasloft.testing.fleet.tests.situations import LOOKUP, ORDER

FULL = LOOKUP.timeout_ms


@pytest.mark.parametrize("share", [0.02, 0.25, 0.5, 0.9])
def test_each_route_gets_its_share(share):
    """Guards against a kind of job that is refused for another one's sake."""
    intake = IntakeShare()
    admitted = {LOOKUP.name: 0, ORDER.name: 0}
    for number in range(3_000):
        route = ORDER if number % 3 == 0 else LOOKUP
        admitted[route.name] += intake.admits(route, FULL, share)
    assert admitted[LOOKUP.name] == pytest.approx(2_000 * share, abs=2)
    assert admitted[ORDER.name] == pytest.approx(1_000 * share, abs=2)


def test_a_job_that_was_sent_before_is_handed_in():
    """Guards against calling a job "not run" that an earlier attempt has started."""
    intake = IntakeShare()
    for _ in range(10):
        intake.admits(LOOKUP, FULL, 0.02)
    assert intake.admits(LOOKUP, FULL - 1_300, 0.02)


def test_all_are_handed_in_while_nothing_is_limited():
    """Guards against refusals on a calm day, and right after a limit."""
    intake = IntakeShare()
    for _ in range(10):
        intake.admits(LOOKUP, FULL, 0.1)
    assert all(intake.admits(LOOKUP, FULL, 1.0) for _ in range(100))
