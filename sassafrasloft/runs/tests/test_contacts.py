"""The order in which a new scheduler contacts runners."""

from sassafrasloft.runs.contacts import AT_ONCE, IN_EACH_SWEEP, ContactQueue
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
    return [view.runner_id for view in queue.take(least, pool)]


def test_each_runner_is_asked_once_in_order():
    """Guards against contacts that are left out or doubled."""
    queue, pool = ContactQueue(), pool_of("a", "b", "c")
    for name in ("a", "b", "c", "a"):
        queue.add(name)
    assert taken(queue, 0, pool) == ["a", "b", "c"]
    assert "a" not in queue
    assert taken(queue, 5, pool) == []


def test_only_some_are_asked_before_others_have_answered():
    """Guards against a takeover that asks all runners in one step."""
    names = [f"runner-{number:03}" for number in range(100)]
    queue, pool = ContactQueue(), pool_of(*names)
    for name in names:
        queue.add(name)
    first = taken(queue, 0, pool)
    assert first == names[:AT_ONCE]
    assert taken(queue, 0, pool) == []
    assert not queue.note_answer(names[-1])
    assert queue.note_answer(first[0])
    assert taken(queue, 0, pool) == [names[AT_ONCE]]


def test_runners_that_do_not_answer_hold_up_no_others():
    """Guards against a window of contacts that unreachable runners fill."""
    names = [f"runner-{number:03}" for number in range(100)]
    queue, pool = ContactQueue(), pool_of(*names)
    for name in names:
        queue.add(name)
    asked = [one for _ in range(12) for one in taken(queue, IN_EACH_SWEEP, pool)]
    assert asked == names


def test_runners_that_are_gone_are_left_out():
    """Guards against orders to a runner that left while it waited."""
    queue, pool = ContactQueue(), pool_of("a")
    queue.add("gone")
    queue.add("a")
    assert taken(queue, 2, pool) == ["a"]
