"""Tests of named timers on a fake event loop with manual time."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrasloft.clock import ManualClock
from sassafrasloft.event_loop.timers import LoopTimers

NAMES = ("a", "b", "c")


class FakeHandle:
    def __init__(self, at, call, arguments):
        self.at, self.call, self.arguments = at, call, arguments
        self.cancelled = False

    def cancel(self):
        self.cancelled = True


class FakeLoop:
    """An event loop with manual time that calls due timers."""

    def __init__(self, clock):
        self._clock = clock
        self._handles = []

    def call_later(self, delay, call, *arguments):
        at = self._clock.now() + round(delay * 1_000)
        handle = FakeHandle(at, call, arguments)
        self._handles.append(handle)
        return handle

    def advance(self, duration_ms):
        for _ in range(duration_ms):
            self._clock.advance(1)
            self.call_due()

    def call_due(self):
        while due := [one for one in self._handles if one.at <= self._clock.now()]:
            self._handles.remove(due[0])
            if not due[0].cancelled:
                due[0].call(*due[0].arguments)


def make_timers():
    clock = ManualClock(1_000)
    loop, fired = FakeLoop(clock), []
    timers = LoopTimers(loop, clock, lambda name: fired.append((name, clock.now())))
    return clock, loop, timers, fired


def test_timer_can_be_set_again_in_its_callback():
    clock = ManualClock(1_000)
    loop, fired = FakeLoop(clock), []

    def fire(name):
        fired.append(clock.now())
        timers.set(name, clock.now() + 50)

    timers = LoopTimers(loop, clock, fire)
    timers.set("a", 1_050)
    loop.advance(200)
    assert fired == [1_050, 1_100, 1_150, 1_200]


@settings(max_examples=200, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from(NAMES), st.integers(-5, 60), st.integers(0, 40)),
        max_size=30,
    )
)
def test_each_timer_fires_once_at_its_latest_set_time(steps):
    """Guards against timers that fire early, twice or never after being set again."""
    clock, loop, timers, fired = make_timers()
    expected, due = [], {}
    for name, delay, pause in steps:
        due[name] = max(clock.now() + delay, clock.now())
        timers.set(name, clock.now() + delay)
        loop.call_due()
        until = clock.now() + pause
        expected += [(one, at) for one, at in due.items() if at <= until]
        due = {one: at for one, at in due.items() if at > until}
        loop.advance(pause)
    expected += due.items()
    loop.advance(200)
    assert sorted(fired) == sorted(expected)
