"""Deadlines of calls on a loop whose time is set."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrasloft.event_loop.deadlines import Deadlines


class FakeLoop:
    """Timers in the order of their times."""

    def __init__(self):
        self.now = 10.0
        self.timers = []
        self.most_timers = 0

    def time(self):
        return self.now

    def call_at(self, at, call, *arguments):
        self.timers.append((at, call, arguments))
        self.most_timers = max(self.most_timers, len(self.timers))

    def run(self, seconds):
        until = self.now + seconds
        while due := [one for one in self.timers if one[0] <= until]:
            first = min(due, key=lambda one: one[0])
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            first[1](*first[2])
        self.now = until


def test_deadlines_expire_on_time_in_order_and_once():
    loop, expired = FakeLoop(), []
    deadlines = Deadlines(loop)
    deadlines.set(30, lambda: expired.append("short"))
    deadlines.set(80, lambda: expired.append("long"))
    loop.run(0.029)
    assert expired == []
    loop.run(0.002)
    assert expired == ["short"]
    loop.run(1)
    assert expired == ["short", "long"]
    assert loop.timers == []


def test_calls_that_end_need_one_timer_for_all():
    """Guards against a timer of the loop for each call."""
    loop, expired = FakeLoop(), []
    deadlines = Deadlines(loop)
    for _ in range(1_000):
        deadlines.set(30, lambda: expired.append(1)).cancel()
        loop.run(0.001)
    assert loop.most_timers == 1
    assert expired == []
    loop.run(1)
    assert loop.timers == []
    assert deadlines._by_timeout == {}


def test_a_deadline_that_fails_or_sets_another_does_not_stop_the_next():
    loop, expired = FakeLoop(), []
    deadlines = Deadlines(loop)

    def fail():
        deadlines.set(30, lambda: expired.append("third"))
        raise RuntimeError("no connection")

    deadlines.set(30, fail)
    deadlines.set(30, lambda: expired.append("second"))
    try:
        loop.run(1)
    except RuntimeError:
        loop.run(1)
    assert expired == ["second", "third"]


@settings(max_examples=200, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([30, 40, 80]),
            st.integers(0, 50),
            st.none() | st.integers(0, 100),
        ),
        max_size=30,
    )
)
def test_each_deadline_expires_at_its_time_unless_it_was_cancelled(calls):
    """Guards against deadlines that hide behind one that was cancelled."""
    loop, expired = FakeLoop(), {}
    deadlines = Deadlines(loop)
    expected = {}
    cancels = []
    for number, (timeout_ms, pause_ms, cancel_ms) in enumerate(calls):
        loop.run(pause_ms / 1_000)
        for at, deadline in cancels:
            if at <= loop.now:
                deadline.cancel()
        cancels = [one for one in cancels if one[0] > loop.now]

        def note(number=number):
            expired[number] = loop.now

        deadline = deadlines.set(timeout_ms, note)
        if cancel_ms is None:
            expected[number] = loop.now + timeout_ms / 1_000
        else:
            cancels.append((loop.now + cancel_ms / 1_000, deadline))
    loop.run(1)
    assert {number: expired[number] for number in expected} == expected
