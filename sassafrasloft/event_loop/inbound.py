"""The queue of events for the decision core, which keeps the event loop responsive."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from sassafrasloft.blackboard import Event, TimerFired
from sassafrasloft.clock import Clock, Milliseconds
from sassafrasloft.instance.events import MessageReceived, StreamClosed, StreamOpened
from sassafrasloft.instance.urgency import is_urgent

TURN_BUDGET_MS: Milliseconds = 5
"""How long events are handled before the loop serves sockets and timers again: a tenth
of the heartbeat interval."""
MAX_WAITING_EVENTS = 2_000
"""The number of queued events at which reading from connections pauses. At half a
millisecond each, it is about a second of work, after which most jobs have missed their
latency objective."""
RESUME_READING_EVENTS = 1_900
"""The number of queued events at which reading resumes. It is close to
`MAX_WAITING_EVENTS` because heartbeats of other instances are not read in a pause."""
MAX_TIMER_WAIT_MS: Milliseconds = 200
"""The wait after which a timer is handled before earlier events. Leases of runners last
900 ms and are renewed by a timer 310 ms after the last renewal."""

_STREAM_EVENTS = (MessageReceived, StreamOpened, StreamClosed)


@attrs.define(eq=False)
class _QueuedEvent:
    """An event and the time since which it has been queued."""

    event: Event
    queued_at_ms: Milliseconds
    is_done: bool = False


class InboundQueue:
    """Passes events to the core for a few milliseconds in each iteration of the loop.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    clock : Clock
    handle_event : callable
        Passes an event to the core.
    pause_reading : callable
        Called with True when `MAX_WAITING_EVENTS` are queued, and with False once the
        queue has shrunk to `RESUME_READING_EVENTS`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        handle_event: Callable[[Event], None],
        pause_reading: Callable[[bool], None],
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._handle_event = handle_event
        self._pause_reading = pause_reading
        self._events: deque[_QueuedEvent] = deque()
        self._queued_timers: dict[str, _QueuedEvent] = {}
        self._turn_started_ms: Milliseconds = 0
        self._paused = False

    def put(self, event: Event) -> None:
        """Handle an event immediately if possible, else queue it."""
        if is_urgent(event):
            self._handle_event(event)
            return
        now = self._clock.now()
        if not self._events and now - self._turn_started_ms < TURN_BUDGET_MS:
            self._handle_event(event)
            return
        if not self._events:
            self._loop.call_soon(self._handle_turn)
        queued = _QueuedEvent(event, now)
        self._events.append(queued)
        if isinstance(event, TimerFired):
            self._queued_timers[event.name] = queued
        if len(self._events) >= MAX_WAITING_EVENTS and not self._paused:
            self._paused = True
            self._pause_reading(True)

    def discard_timer(self, name: str) -> None:
        """Discard a queued timer event because the timer has been set again."""
        queued = self._queued_timers.pop(name, None)
        if queued is not None:
            queued.is_done = True

    def discard_stream(self, stream_id: int) -> None:
        """Discard the queued events of a stream that the core has closed."""
        for queued in self._events:
            event = queued.event
            if isinstance(event, _STREAM_EVENTS) and event.stream_id == stream_id:
                queued.is_done = True

    def oldest_wait_ms(self) -> Milliseconds:
        """Return how long the oldest event has been queued, or 0 without events."""
        if not self._events:
            return 0
        return self._clock.now() - self._events[0].queued_at_ms

    def _handle_turn(self) -> None:
        """Handle events until `TURN_BUDGET_MS` is used up, then yield to the loop."""
        started_ms = now = self._turn_started_ms = self._clock.now()
        try:
            while self._events and now - started_ms < TURN_BUDGET_MS:
                self._handle_queued(self._next_event(now))
                now = self._clock.now()
        finally:
            if self._events:
                self._loop.call_soon(self._handle_turn)
        if self._paused and len(self._events) <= RESUME_READING_EVENTS:
            self._paused = False
            self._pause_reading(False)

    def _next_event(self, now: Milliseconds) -> _QueuedEvent:
        for timer in self._queued_timers.values():
            if now - timer.queued_at_ms >= MAX_TIMER_WAIT_MS:
                return timer
            break
        return self._events.popleft()

    def _handle_queued(self, queued: _QueuedEvent) -> None:
        if queued.is_done:
            return
        queued.is_done = True
        if isinstance(queued.event, TimerFired):
            del self._queued_timers[queued.event.name]
        self._handle_event(queued.event)
