"""Events that wait for the decision core while the event loop serves others."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from sassafrasloft.blackboard import Event, TimerFired
from sassafrasloft.clock import Clock, Milliseconds
from sassafrasloft.instance.events import MessageReceived, StreamClosed, StreamOpened
from sassafrasloft.instance.urgency import is_urgent

TURN_MS: Milliseconds = 5
"""For how long events are handled before the loop serves sockets and timers again: a
tenth of the time between two beats."""
MAX_WAITING = 2_000
"""Events; while there are as many, connections are not read. About a second of work, at
half a millisecond each, after which most callers have lost their objective."""
RESUME_READING_AT = 1_900
"""Events. Close to the bound: beats of others are not read in a pause."""
MAX_TIMER_WAIT_MS: Milliseconds = 200
"""A timer passes the events before it after this. Runners' leases, of 900, are renewed
by a timer 310 after the last renewal."""

_STREAM_EVENTS = (MessageReceived, StreamOpened, StreamClosed)


@attrs.define(eq=False)
class _Waiting:
    """An event that waits since a time."""

    event: Event
    since: Milliseconds
    taken: bool = False


class InboundQueue:
    """Hands events to the core, for a few milliseconds of each turn of the loop.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    clock : Clock
    take : callable
        Has the core handle an event.
    pause_reading : callable
        Called with True at the bound of waiting events, and with False below it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        take: Callable[[Event], None],
        pause_reading: Callable[[bool], None],
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._take = take
        self._pause_reading = pause_reading
        self._waiting: deque[_Waiting] = deque()
        self._timers: dict[str, _Waiting] = {}
        self._turn_began: Milliseconds = 0
        self._paused = False

    def put(self, event: Event) -> None:
        """Have an event handled: at once, or after those that wait."""
        if is_urgent(event):
            self._take(event)
            return
        now = self._clock.now()
        if not self._waiting and now - self._turn_began < TURN_MS:
            self._take(event)
            return
        if not self._waiting:
            self._loop.call_soon(self._work)
        waiting = _Waiting(event, now)
        self._waiting.append(waiting)
        if isinstance(event, TimerFired):
            self._timers[event.name] = waiting
        if len(self._waiting) >= MAX_WAITING and not self._paused:
            self._paused = True
            self._pause_reading(True)

    def forget_timer(self, name: str) -> None:
        """Drop a timer that waits, since it was set again."""
        waiting = self._timers.pop(name, None)
        if waiting is not None:
            waiting.taken = True

    def forget_stream(self, stream_id: int) -> None:
        """Drop what waits of a stream that the core has closed."""
        for waiting in self._waiting:
            event = waiting.event
            if isinstance(event, _STREAM_EVENTS) and event.stream_id == stream_id:
                waiting.taken = True

    def waited_ms(self) -> Milliseconds:
        """Return how long the oldest event has waited; 0 if there is none."""
        if not self._waiting:
            return 0
        return self._clock.now() - self._waiting[0].since

    def _work(self) -> None:
        """Handle events until the time of this turn is used up."""
        began = now = self._turn_began = self._clock.now()
        try:
            while self._waiting and now - began < TURN_MS:
                self._handle(self._next(now))
                now = self._clock.now()
        finally:
            if self._waiting:
                self._loop.call_soon(self._work)
        if self._paused and len(self._waiting) <= RESUME_READING_AT:
            self._paused = False
            self._pause_reading(False)

    def _next(self, now: Milliseconds) -> _Waiting:
        for timer in self._timers.values():
            if now - timer.since >= MAX_TIMER_WAIT_MS:
                return timer
            break
        return self._waiting.popleft()

    def _handle(self, waiting: _Waiting) -> None:
        if waiting.taken:
            return
        waiting.taken = True
        if isinstance(waiting.event, TimerFired):
            del self._timers[waiting.event.name]
        self._take(waiting.event)
