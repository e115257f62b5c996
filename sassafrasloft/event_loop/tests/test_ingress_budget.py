"""Which connections are given up when memory or descriptors run short."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sassafrasloft.event_loop.ingress_budget import (
    MIN_CONNECTIONS,
    MIN_HELD_BYTES,
    IngressBudget,
    IngressLimits,
    connection_to_close,
)

LIMITS = IngressLimits(held_bytes=1_000, connections=10)


def test_largest_unread_requests_are_given_up_first():
    """Guards against ordinary callers that pay for those who send most."""
    budget = IngressBudget(LIMITS)
    assert budget.hold("small", 50, 0) == []
    assert budget.hold("large", 600, 0) == []
    assert budget.hold("other", 400, 0) == ["large"]


def test_request_that_waits_for_its_answer_is_not_given_up():
    """Guards against a refusal as "not run" of a request that may run."""
    budget = IngressBudget(LIMITS)
    budget.hold("started", 0, 900)
    assert budget.hold("arriving", 200, 0) == ["arriving"]
    budget.release("arriving")
    assert not budget.has_room_for(200)
    budget.release("started")
    assert budget.has_room_for(1_000)


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.integers(0, 400), st.integers(0, 100)),
        max_size=60,
    )
)
def test_held_bytes_stay_within_the_limit(changes):
    """Guards against sums that drift from what connections hold."""
    budget, held = IngressBudget(LIMITS), {}
    for connection, unread, unanswered in changes:
        held[connection] = unread + unanswered
        for one in budget.hold(connection, unread, unanswered):
            unanswered_of_one = unanswered if one == connection else 0
            held[one] = unanswered_of_one
            budget.hold(one, 0, unanswered_of_one)
        assert budget.held_bytes <= LIMITS.held_bytes + 6 * 100
    for connection in range(6):
        budget.release(connection)
    assert budget.held_bytes == 0


@pytest.mark.parametrize(
    ("idle", "unfinished", "chosen"),
    [(["a", "b"], ["c"], "a"), ([], ["c", "d"], "c"), ([], [], None)],
)
def test_idle_connections_make_room_before_unfinished_requests(
    idle, unfinished, chosen
):
    """Guards against requests that are cut off while idle connections stay open."""
    assert connection_to_close(iter(idle), iter(unfinished)) == chosen


def test_limits_follow_the_size_of_the_machine():
    """Guards against limits that a small machine cannot keep."""
    limits = IngressLimits.of_machine(memory_mb=160, descriptors=1_638)
    assert limits == IngressLimits(10 * 1_048_576, 719)
    unknown = IngressLimits.of_machine(0, 0)
    assert unknown.held_bytes >= MIN_HELD_BYTES
    assert IngressLimits.of_machine(16, 210).connections == MIN_CONNECTIONS
