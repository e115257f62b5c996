"""Tests of the order and rate of the initial polls of a new scheduler."""

from sassafrasloft.runs.contacts import (
    MAX_OPEN_CONTACTS,
    MIN_CONTACTS_PER_SWEEP,
    ContactQueue,
)
from sassafrasloft.runs.runners import RunnerEntry, RunnerPool, RunnerView
from sassafrasloft.workload import Resources


def pool_of(*names):
    pool = RunnerPool()
    for name in names:
        entry = RunnerEntry(name, "desk", f"address-of-{name}", "north", False, ROOM)
        pool.runners[name] = RunnerView(entry, ROOM)
    return pool


ROOM = Resources(1_000, 64, 0)


def taken(queue, least, pool):
    return [view.runner_id for view in queue.pop_next(least, pool)]


def test_each_runner_is_polled_once_in_order():
    """Guards against initial polls that are omitted or repeated."""
    queue, pool = ContactQueue(), pool_of("a", "b", "c")
    for name in ("a", "b", "c", "a"):
        queue.add(name)
    assert taken(queue, 0, pool) == ["a", "b", "c"]
    assert "a" not in queue
    assert taken(queue, 5, pool) == []


def test_open_polls_are_limited_until_runners_reply():
    """Guards against a takeover that polls all runners in one step."""
    names = [f"runner-{number:03}" for number in range(100)]
    queue, pool = ContactQueue(), pool_of(*names)
    for name in names:
        queue.add(name)
    first = taken(queue, 0, pool)
    assert first == names[:MAX_OPEN_CONTACTS]
    assert taken(queue, 0, pool) == []
    assert not queue.record_reply(names[-1])
    assert queue.record_reply(first[0])
    assert taken(queue, 0, pool) == [names[MAX_OPEN_CONTACTS]]


def test_unresponsive_runners_do_not_delay_others():
    """Guards against unreachable runners that use up all open polls."""
    names = [f"runner-{number:03}" for number in range(100)]
    queue, pool = ContactQueue(), pool_of(*names)
    for name in names:
        queue.add(name)
    asked = [
        one for _ in range(12) for one in taken(queue, MIN_CONTACTS_PER_SWEEP, pool)
    ]
    assert asked == names


def test_removed_runners_are_skipped():
    """Guards against a poll of a runner that left while it was queued."""
    queue, pool = ContactQueue(), pool_of("a")
    queue.add("gone")
    queue.add("a")
    assert taken(queue, 2, pool) == ["a"]
