"""Which callers are taken to have waited before."""

import attrs

from sassafrasloft.scheduling.lateness import ENOUGH_SAMPLES, CallerPatience
from sassafrasloft.workload import Route

ROUTE = Route("confirm", "callers.example", "/confirm/", "desk", 1, 2, 1.6, 60, 1_500)


def test_a_caller_with_less_time_than_the_timeout_has_waited_before():
    patience = CallerPatience()
    assert not patience.note(ROUTE, 1_500)
    assert patience.note(ROUTE, 1_499)


def test_a_backlog_right_after_a_start_is_recognized():
    """Guards against a rule that needs a history: a restart takes it away."""
    patience = CallerPatience()
    assert all(patience.note(ROUTE, 300) for _ in range(ENOUGH_SAMPLES // 2))


def test_a_timeout_above_what_callers_wait_makes_no_job_late():
    """Guards against taking all jobs for repeated ones after a change of timeouts."""
    patience = CallerPatience()
    longer = attrs.evolve(ROUTE, timeout_ms=6_000)
    for _ in range(ENOUGH_SAMPLES):
        patience.note(longer, 2_500)
    assert not patience.note(longer, 2_500)


def test_the_rule_holds_again_once_the_timeout_is_back():
    patience = CallerPatience()
    longer = attrs.evolve(ROUTE, timeout_ms=6_000)
    for _ in range(2 * ENOUGH_SAMPLES):
        patience.note(longer, 2_500)
    for _ in range(8 * ENOUGH_SAMPLES):
        assert not patience.note(ROUTE, 2_500)
    assert patience.note(ROUTE, 700)
