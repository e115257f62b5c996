"""Tests of deadlines on a fake event loop with manual time."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrasloft.event_loop.deadlines import Deadlines


class FakeLoop:
    """An event loop with manual time that calls timers in order of time."""

    def __init__(self):
        self.now = 10.0
        self.timers = []
        self.max_timers = 0

    def time(self):
        return self.now

    def call_at(self, at, call, *arguments):
        self.timers.append((at, call, arguments))
        self.max_timers = max(self.max_timers, len(self.timers))

    def run(self, seconds):
        until = self.now + seconds
        while due := [one for one in self.timers if one[0] <= until]:
            first = min(due, key=lambda one: one[0])
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            first[1](*first[2])
        self.now = until


def test_deadlines_expire_once_on_time_and_in_order():
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


def test_cancelled_deadlines_share_one_loop_timer():
    """Guards against one loop timer per call."""
    loop, expired = FakeLoop(), []
    deadlines = Deadlines(loop)
    for _ in range(1_000):
        deadlines.set(30, lambda: expired.append(1)).cancel()
        loop.run(0.001)
    assert loop.max_timers == 1
    assert expired == []
    loop.run(1)
    assert loop.timers == []
    assert deadlines._queues_by_timeout == {}


def test_failing_callback_that_sets_a_deadline_does_not_stop_later_deadlines():
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
def test_each_deadline_expires_on_time_unless_cancelled(calls):
    """Guards against deadlines that expire late because of a cancelled earlier one."""
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

        def record_expiry(number=number):
            expired[number] = loop.now

        deadline = deadlines.set(timeout_ms, record_expiry)
        if cancel_ms is None:
            expected[number] = loop.now + timeout_ms / 1_000
        else:
            cancels.append((loop.now + cancel_ms / 1_000, deadline))
    loop.run(1)
    assert {number: expired[number] for number in expected} == expected
