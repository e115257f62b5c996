"""Rate limit, retries and timeouts of all calls to the platform.

Every call is made for a purpose, such as the lease or the list of instances. A
controller requests a call with `request_call` and handles `PlatformCallCompleted`.
At most one call of each purpose is in flight and at most one waits, so no queue is
needed.
"""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    Blackboard,
    CallPlatform,
    Controller,
    Event,
    PlatformReplied,
    Started,
    TimerFired,
    register_controller,
)
from sassafrasloft.messages import (
    PlatformCall,
    PlatformReply,
    Unavailable,
    WatchKey,
)
from sassafrasloft.state import CallPurpose

CALLS_TIMER = "configuration.calls"

CORE_TIMEOUT_FACTOR = 2
"""The I/O layer times out after `call_timeout_ms`. The core waits twice as long
before it treats the reply of the I/O layer as lost."""

MAX_DOUBLINGS = 20
"""Limits the exponent of the backoff, so that the shift stays small. The delay
reaches any sensible `max_retry_delay_ms` with fewer doublings."""


@attrs.frozen
class PlatformCallCompleted(Event):
    """A call has ended. Posted exactly once for each call, unless it is discarded.

    Parameters
    ----------
    purpose : str
        The purpose for which the call was requested.
    call : PlatformCall
        The call.
    reply : PlatformReply
        Its reply; `Unavailable` if it failed.
    sent_at_ms : Milliseconds
        When the call was sent. The reply describes the state at that time or later.
    timed_out : bool
        Whether no reply arrived in time; `reply` is then `Unavailable`.
    """

    purpose: str
    call: PlatformCall
    reply: PlatformReply
    sent_at_ms: Milliseconds
    timed_out: bool = False


def request_call(board: Blackboard, purpose: str, call: PlatformCall) -> None:
    """Request a call; it is sent when the rate limit and its backoff allow.

    The call replaces a call of the same purpose that has not been sent yet.
    """
    state = board.platform.purposes.setdefault(purpose, CallPurpose())
    state.waiting = call


def discard_call(board: Blackboard, purpose: str) -> None:
    """Drop the waiting call of a purpose and ignore the reply to its open call."""
    state = board.platform.purposes.get(purpose)
    if state is None:
        return
    board.platform.open_calls.pop(state.call_id, None)
    state.waiting = None
    state.open_call = None


def delay_next_call(board: Blackboard, purpose: str, delay_ms: Milliseconds) -> None:
    """Send no further call of a purpose for at least `delay_ms`."""
    state = board.platform.purposes.setdefault(purpose, CallPurpose())
    state.not_before_ms = max(state.not_before_ms, board.now + delay_ms)


def is_call_pending(board: Blackboard, purpose: str) -> bool:
    """Return whether a call of a purpose is in flight or waiting to be sent."""
    state = board.platform.purposes.get(purpose)
    return state is not None and bool(state.open_call or state.waiting)


@register_controller("configuration.calls", 19)
class PlatformCallsController(Controller):
    """Sends the calls that other controllers request and posts their replies."""

    handles = (Started, PlatformReplied, TimerFired)

    def __init__(self) -> None:
        self._timer_ms: Milliseconds = -1
        self._last_reply_ms: Milliseconds = -1

    def react(self, event: Event, board: Blackboard) -> None:
        """Pass a reply on to the controller that requested the call."""
        if isinstance(event, PlatformReplied):
            self._handle_reply(event, board)
        elif isinstance(event, TimerFired):
            if event.name == CALLS_TIMER:
                self._timer_ms = -1
        else:
            board.platform.tokens_ms = board.now
            board.platform.call_tokens = float(
                board.settings.service.platform.calls_per_second
            )

    def settle(self, board: Blackboard) -> None:
        """Time out overdue calls and send the waiting calls that are allowed now."""
        for purpose, state in board.platform.purposes.items():
            if state.open_call is not None and state.due_ms <= board.now:
                self._time_out_call(purpose, state, board)
        for purpose, state in board.platform.purposes.items():
            ready = state.waiting is not None and state.open_call is None
            if ready and state.not_before_ms <= board.now and self._take_token(board):
                self._send_call(purpose, state, board)
        self._set_timer(board)

    def _send_call(self, purpose: str, state: CallPurpose, board: Blackboard) -> None:
        platform = board.platform
        settings = board.settings.service.platform
        call = state.waiting
        assert call is not None
        platform.last_call_number += 1
        state.call_id = f"{purpose}-{platform.last_call_number}"
        state.open_call = call
        state.waiting = None
        state.call_sent_at_ms = board.now
        if isinstance(call, WatchKey):
            state.due_ms = board.now + settings.watch_silence_ms
        else:
            state.due_ms = board.now + CORE_TIMEOUT_FACTOR * settings.call_timeout_ms
        platform.open_calls[state.call_id] = purpose
        board.metrics.add("platform_calls")
        board.emit(CallPlatform(state.call_id, call))

    @staticmethod
    def _take_token(board: Blackboard) -> bool:
        """Take a token from the bucket that enforces `calls_per_second`.

        Returns
        -------
        bool
            False if the bucket has no whole token.
        """
        platform = board.platform
        rate = board.settings.service.platform.calls_per_second
        refilled = (board.now - platform.tokens_ms) * rate / 1000
        platform.call_tokens = min(float(rate), platform.call_tokens + refilled)
        platform.tokens_ms = board.now
        if platform.call_tokens < 1:
            return False
        platform.call_tokens -= 1
        return True

    def _handle_reply(self, event: PlatformReplied, board: Blackboard) -> None:
        purpose = board.platform.open_calls.get(event.call_id)
        if purpose is None:
            # The call has timed out or has been discarded.
            board.metrics.add("platform_replies_late")
            return
        self._complete_call(purpose, event.reply, False, board)

    def _time_out_call(
        self, purpose: str, state: CallPurpose, board: Blackboard
    ) -> None:
        waited_ms = board.now - state.call_sent_at_ms
        board.metrics.add("platform_calls_given_up")
        self._complete_call(
            purpose, Unavailable(f"no reply in {waited_ms} ms"), True, board
        )

    def _complete_call(
        self, purpose: str, reply: PlatformReply, timed_out: bool, board: Blackboard
    ) -> None:
        platform = board.platform
        state = platform.purposes[purpose]
        call = state.open_call
        assert call is not None
        platform.open_calls.pop(state.call_id, None)
        state.open_call = None
        if isinstance(reply, Unavailable):
            self._back_off(state, board)
            # A watch without a reply may only have lost its connection. A failed
            # call that was sent before the last successful reply does not show
            # that the platform failed after that reply.
            watch_timed_out = timed_out and isinstance(call, WatchKey)
            if not watch_timed_out and state.call_sent_at_ms >= self._last_reply_ms:
                self._set_available(False, reply.reason, board)
        else:
            self._last_reply_ms = board.now
            state.failures = 0
            state.not_before_ms = board.now
            platform.retry_delay_ms = 0
            self._set_available(True, "", board)
        board.post(
            PlatformCallCompleted(
                purpose, call, reply, state.call_sent_at_ms, timed_out
            )
        )

    @staticmethod
    def _back_off(state: CallPurpose, board: Blackboard) -> None:
        """Delay the next call by exponential backoff with full jitter.

        The delay is drawn uniformly from zero to the bound, so that instances
        whose calls failed at the same time retry spread over the whole interval.
        """
        settings = board.settings.service.platform
        doubling_count = min(state.failures, MAX_DOUBLINGS)
        max_delay_ms = min(
            settings.max_retry_delay_ms, settings.retry_delay_ms << doubling_count
        )
        state.failures += 1
        state.not_before_ms = board.now + board.random.randint(0, max_delay_ms)
        board.platform.retry_delay_ms = max_delay_ms

    @staticmethod
    def _set_available(available: bool, reason: str, board: Blackboard) -> None:
        if available != board.platform.available:
            event = "platform_available" if available else "platform_unavailable"
            board.log("INFO" if available else "WARNING", event, reason=reason)
        board.platform.available = available

    def _set_timer(self, board: Blackboard) -> None:
        """Set the timer to when the next call may be sent or becomes overdue."""
        rate = board.settings.service.platform.calls_per_second
        deadlines: list[Milliseconds] = []
        for state in board.platform.purposes.values():
            if state.open_call is not None:
                deadlines.append(state.due_ms)
            elif state.waiting is not None:
                token_ms = board.now + 1 + 1000 // rate
                deadlines.append(max(state.not_before_ms, token_ms))
        if not deadlines:
            return
        earliest = min(deadlines)
        if self._timer_ms < 0 or earliest < self._timer_ms:
            self._timer_ms = earliest
            board.set_timer(CALLS_TIMER, earliest - board.now)
