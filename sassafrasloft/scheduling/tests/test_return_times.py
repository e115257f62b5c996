"""When the callers of refused jobs may return."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.scheduling.return_times import (
    LATEST_RETURN_S,
    USABLE_SHARE,
    ReturnTimes,
)
from sassafrasloft.testing.fleet.tests.situations import (
    follower_names,
    settled_world,
    submit_order,
)

SERVICE = "desk"
FREE_MILLICORES = 1_000.0
ROOM = FREE_MILLICORES * 1_000 * USABLE_SHARE
"""Work that may return in one second."""


def promise(times, work, earliest_s=1, now=0, free=FREE_MILLICORES):
    return times.promise(SERVICE, work, earliest_s, free, now)


def test_callers_return_in_the_first_second_with_room_for_them():
    """Guards against callers that all return in the same second."""
    times = ReturnTimes()
    half = ROOM / 2
    assert [promise(times, half) for _ in range(5)] == [1, 1, 2, 2, 3]


def test_room_that_was_promised_is_free_again_in_later_seconds():
    """Guards against promises that are counted for ever."""
    times = ReturnTimes()
    assert [promise(times, ROOM) for _ in range(2)] == [1, 2]
    assert promise(times, ROOM, now=1_000) == 2
    assert promise(times, ROOM, now=60_000) == 1


def test_no_caller_returns_before_the_waiting_work_is_done():
    """Guards against callers that return into the same backlog."""
    times = ReturnTimes()
    assert promise(times, 1.0, earliest_s=4) == 4
    assert promise(times, 1.0, earliest_s=20) == 20


def test_job_that_needs_more_than_a_second_of_all_runners_may_return():
    """Guards against a job that fits into no second."""
    times = ReturnTimes()
    assert promise(times, 9 * ROOM) == 1
    assert promise(times, 1.0) == 2


@given(st.lists(st.floats(1.0, ROOM), max_size=80), st.sampled_from([0.0, 1_000.0]))
def test_returns_are_bounded_and_fill_no_second_before_the_last(works, free):
    """Guards against returns without a bound, and against full seconds."""
    times, by_second = ReturnTimes(), Counter()
    for work in works:
        after_s = promise(times, work, free=free)
        assert 1 <= after_s <= LATEST_RETURN_S
        if free and after_s < LATEST_RETURN_S:
            by_second[after_s] += work
    assert all(work <= ROOM for work in by_second.values())


def test_callers_of_a_refused_burst_return_at_different_times():
    """Guards against a burst that comes back as one.

    Load pattern: ten times the work that the runners do in a second arrives at once.
    """
    world = settled_world(runners=1)
    names = follower_names(world)
    jobs = [
        submit_order(world, number, names[number % len(names)])
        for number in range(1, 61)
    ]
    world.run(2_500)
    refused = [job for job in jobs if job.answer.kind is AnswerKind.REFUSED]
    assert len(refused) > 30
    returns = Counter(job.answer.retry_after_s for job in refused)
    assert len(returns) > 4
