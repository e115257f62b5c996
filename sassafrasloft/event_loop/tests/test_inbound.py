"""The queue of events that wait for the decision core, on a loop of calls."""

from sassafrasloft.blackboard import TimerFired
from sassafrasloft.clock import ManualClock
from sassafrasloft.event_loop.inbound import (
    MAX_TIMER_WAIT_MS,
    MAX_WAITING,
    RESUME_READING_AT,
    TURN_MS,
    InboundQueue,
)
from sassafrasloft.instance.events import MessageReceived, StreamClosed
from sassafrasloft.instance.messages import Heartbeat, LivenessQuery, QueryQueue
from sassafrasloft.leadership.role_controller import HEARTBEAT_TIMER

TIMER = "some.timer"
WORK = QueryQueue("a")


class Situation:
    """A queue whose events take a millisecond each, and a loop that is turned."""

    def __init__(self):
        self.clock = ManualClock(1_000)
        self.calls = []
        self.taken = []
        self.pauses = []
        self.queue = InboundQueue(self, self.clock, self._take, self.pauses.append)

    def call_soon(self, call):
        self.calls.append(call)

    def _take(self, event):
        self.taken.append(event)
        self.clock.advance(1)

    def turn(self):
        calls, self.calls = self.calls, []
        for call in calls:
            call()

    def fill(self, count):
        for number in range(count):
            self.queue.put(MessageReceived(number, WORK))

    def streams_taken(self):
        return [one.stream_id for one in self.taken if hasattr(one, "stream_id")]


def test_a_turn_takes_a_few_milliseconds_and_events_keep_their_order():
    situation = Situation()
    situation.fill(20)
    situation.turn()
    assert len(situation.taken) == TURN_MS
    for _ in range(4):
        situation.turn()
    assert situation.streams_taken() == list(range(20))
    assert situation.calls == []


def test_events_go_to_the_core_at_once_while_the_turn_has_time():
    """Guards against a turn of the loop for each event of a process that is busy."""
    situation = Situation()
    situation.fill(1)
    situation.turn()
    situation.fill(TURN_MS - 1)
    assert len(situation.taken) == TURN_MS
    situation.fill(1)
    assert len(situation.taken) == TURN_MS
    situation.turn()
    assert len(situation.taken) == TURN_MS + 1


def test_urgent_events_pass_those_that_wait():
    situation = Situation()
    situation.fill(100)
    urgent = [
        TimerFired(HEARTBEAT_TIMER),
        MessageReceived(1, Heartbeat()),
        MessageReceived(2, LivenessQuery(3)),
    ]
    for event in urgent:
        situation.queue.put(event)
    assert situation.taken == urgent


def test_a_beat_with_a_roster_and_an_end_stay_behind_their_streams_messages():
    """Guards against a roster that is dropped since it comes before the welcome."""
    situation = Situation()
    situation.fill(1)
    situation.queue.put(MessageReceived(0, Heartbeat(())))
    situation.queue.put(StreamClosed(0))
    situation.turn()
    assert situation.taken[1:] == [MessageReceived(0, Heartbeat(())), StreamClosed(0)]


def test_a_timer_passes_the_events_before_it_after_a_bounded_wait():
    """Guards against leases that lapse while a queue of events is handled."""
    situation = Situation()
    situation.fill(1_000)
    due = situation.clock.now()
    situation.queue.put(TimerFired(TIMER))
    while TimerFired(TIMER) not in situation.taken:
        situation.turn()
    assert situation.clock.now() - due <= MAX_TIMER_WAIT_MS + TURN_MS
    while situation.calls:
        situation.turn()
    assert situation.taken.count(TimerFired(TIMER)) == 1
    assert len(situation.taken) == 1_001


def test_a_timer_that_is_set_again_while_it_waits_is_not_told():
    situation = Situation()
    situation.fill(3)
    situation.queue.put(TimerFired(TIMER))
    situation.queue.forget_timer(TIMER)
    situation.turn()
    assert situation.streams_taken() == [0, 1, 2]


def test_nothing_is_told_of_a_stream_after_the_core_has_closed_it():
    """Guards against jobs that are taken from a follower which was given up."""
    situation = Situation()
    situation.fill(3)
    situation.queue.put(MessageReceived(1, WORK))
    situation.queue.put(StreamClosed(1))
    situation.queue.put(TimerFired(TIMER))
    situation.queue.forget_stream(1)
    situation.turn()
    assert situation.streams_taken()[:2] == [0, 2]
    assert situation.taken[2:] == [TimerFired(TIMER)]


def test_reading_pauses_at_the_bound_and_goes_on_below_it():
    """Guards against a queue that grows without a bound."""
    situation = Situation()
    situation.fill(MAX_WAITING)
    assert situation.pauses == [True]
    turns = 0
    while situation.pauses == [True]:
        situation.turn()
        turns += 1
    assert situation.pauses == [True, False]
    assert turns == (MAX_WAITING - RESUME_READING_AT) // TURN_MS


def test_the_age_of_the_oldest_event_is_measured():
    situation = Situation()
    assert situation.queue.waited_ms() == 0
    situation.fill(10)
    situation.clock.advance(30)
    assert situation.queue.waited_ms() == 30


def test_an_event_that_fails_does_not_stop_the_others():
    situation = Situation()
    situation.fill(3)
    take = situation.queue._take

    def fail_once(event):
        situation.queue._take = take
        raise RuntimeError("no core")

    situation.queue._take = fail_once
    try:
        situation.turn()
    except RuntimeError:
        situation.turn()
    assert situation.streams_taken() == [1, 2]
