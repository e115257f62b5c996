"""Tests of the queue of events for the decision core, on a fake event loop."""

from sassafrasloft.blackboard import TimerFired
from sassafrasloft.clock import ManualClock
from sassafrasloft.event_loop.inbound import (
    MAX_TIMER_WAIT_MS,
    MAX_WAITING_EVENTS,
    RESUME_READING_EVENTS,
    TURN_BUDGET_MS,
    InboundQueue,
)
from sassafrasloft.instance.events import MessageReceived, StreamClosed
from sassafrasloft.instance.messages import Heartbeat, LivenessQuery, QueryQueue
from sassafrasloft.leadership.role_controller import HEARTBEAT_TIMER

TIMER = "some.timer"
WORK = QueryQueue("a")


class QueueScenario:
    """A queue whose events take 1 ms each, and a fake loop that is run manually."""

    def __init__(self):
        self.clock = ManualClock(1_000)
        self.calls = []
        self.handled = []
        self.pauses = []
        self.queue = InboundQueue(
            self, self.clock, self._handle_event, self.pauses.append
        )

    def call_soon(self, call):
        self.calls.append(call)

    def _handle_event(self, event):
        self.handled.append(event)
        self.clock.advance(1)

    def run_turn(self):
        calls, self.calls = self.calls, []
        for call in calls:
            call()

    def put_messages(self, count):
        for number in range(count):
            self.queue.put(MessageReceived(number, WORK))

    def handled_streams(self):
        return [one.stream_id for one in self.handled if hasattr(one, "stream_id")]


def test_iteration_is_limited_in_time_and_events_keep_their_order():
    scenario = QueueScenario()
    scenario.put_messages(20)
    scenario.run_turn()
    assert len(scenario.handled) == TURN_BUDGET_MS
    for _ in range(4):
        scenario.run_turn()
    assert scenario.handled_streams() == list(range(20))
    assert scenario.calls == []


def test_events_are_handled_immediately_within_the_time_of_an_iteration():
    """Guards against one loop iteration per event in a busy process."""
    scenario = QueueScenario()
    scenario.put_messages(1)
    scenario.run_turn()
    scenario.put_messages(TURN_BUDGET_MS - 1)
    assert len(scenario.handled) == TURN_BUDGET_MS
    scenario.put_messages(1)
    assert len(scenario.handled) == TURN_BUDGET_MS
    scenario.run_turn()
    assert len(scenario.handled) == TURN_BUDGET_MS + 1


def test_urgent_events_overtake_queued_events():
    scenario = QueueScenario()
    scenario.put_messages(100)
    urgent = [
        TimerFired(HEARTBEAT_TIMER),
        MessageReceived(1, Heartbeat()),
        MessageReceived(2, LivenessQuery(3)),
    ]
    for event in urgent:
        scenario.queue.put(event)
    assert scenario.handled == urgent


def test_heartbeat_with_members_and_stream_end_stay_behind_earlier_messages():
    """Guards against a member list that is dropped as it overtakes the `Welcome`."""
    scenario = QueueScenario()
    scenario.put_messages(1)
    scenario.queue.put(MessageReceived(0, Heartbeat(())))
    scenario.queue.put(StreamClosed(0))
    scenario.run_turn()
    assert scenario.handled[1:] == [MessageReceived(0, Heartbeat(())), StreamClosed(0)]


def test_timer_overtakes_queued_events_after_a_bounded_wait():
    """Guards against leases that expire while queued events are handled."""
    scenario = QueueScenario()
    scenario.put_messages(1_000)
    due = scenario.clock.now()
    scenario.queue.put(TimerFired(TIMER))
    while TimerFired(TIMER) not in scenario.handled:
        scenario.run_turn()
    assert scenario.clock.now() - due <= MAX_TIMER_WAIT_MS + TURN_BUDGET_MS
    while scenario.calls:
        scenario.run_turn()
    assert scenario.handled.count(TimerFired(TIMER)) == 1
    assert len(scenario.handled) == 1_001


def test_queued_timer_event_is_discarded_when_the_timer_is_set_again():
    scenario = QueueScenario()
    scenario.put_messages(3)
    scenario.queue.put(TimerFired(TIMER))
    scenario.queue.discard_timer(TIMER)
    scenario.run_turn()
    assert scenario.handled_streams() == [0, 1, 2]


def test_queued_events_of_a_stream_closed_by_the_core_are_discarded():
    """Guards against accepting jobs from a follower that the core has given up."""
    scenario = QueueScenario()
    scenario.put_messages(3)
    scenario.queue.put(MessageReceived(1, WORK))
    scenario.queue.put(StreamClosed(1))
    scenario.queue.put(TimerFired(TIMER))
    scenario.queue.discard_stream(1)
    scenario.run_turn()
    assert scenario.handled_streams()[:2] == [0, 2]
    assert scenario.handled[2:] == [TimerFired(TIMER)]


def test_reading_pauses_at_the_limit_and_resumes_below_it():
    """Guards against a queue that grows without limit."""
    scenario = QueueScenario()
    scenario.put_messages(MAX_WAITING_EVENTS)
    assert scenario.pauses == [True]
    turns = 0
    while scenario.pauses == [True]:
        scenario.run_turn()
        turns += 1
    assert scenario.pauses == [True, False]
    assert turns == (MAX_WAITING_EVENTS - RESUME_READING_EVENTS) // TURN_BUDGET_MS


def test_wait_of_the_oldest_event_is_measured():
    scenario = QueueScenario()
    assert scenario.queue.oldest_wait_ms() == 0
    scenario.put_messages(10)
    scenario.clock.advance(30)
    assert scenario.queue.oldest_wait_ms() == 30


def test_failing_event_does_not_stop_later_events():
    scenario = QueueScenario()
    scenario.put_messages(3)
    take = scenario.queue._handle_event

    def fail_once(event):
        scenario.queue._handle_event = take
        raise RuntimeError("no core")

    scenario.queue._handle_event = fail_once
    try:
        scenario.run_turn()
    except RuntimeError:
        scenario.run_turn()
    assert scenario.handled_streams() == [1, 2]
