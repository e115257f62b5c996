"""The instance's lease, which registers the instance in the platform's list."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.configuration.platform_calls import (
    PlatformCallCompleted,
    discard_call,
    is_call_pending,
    request_call,
)
from sassafrasloft.core import (
    AuthorityLost,
    Blackboard,
    Controller,
    Event,
    Started,
    TimerFired,
    register_controller,
)
from sassafrasloft.messages import GrantLease, LeaseState, RenewLease

LEASE_PURPOSE = "lease"
LEASE_TIMER = "configuration.lease"

RENEWALS_PER_LEASE = 3
"""Two consecutive renewals may fail before the lease expires."""

JITTER_SHARE = 0.2
"""Largest share of the renewal period by which a renewal is randomly brought forward,
so that instances that started at the same time do not renew at the same time."""

MIN_LEASE_HELD_MS: Milliseconds = 1_000
"""If a lease expires sooner than this, or its grant is refused, the next request
waits for the renewal timer, so that requests do not follow each other in a loop."""


@register_controller("configuration.leases", 11)
class LeasesController(Controller):
    """Keeps one lease at the platform; an instance without one still serves jobs."""

    handles = (Started, TimerFired, PlatformCallCompleted, AuthorityLost)

    def __init__(self) -> None:
        self._leaving_reported = False

    def react(self, event: Event, board: Blackboard) -> None:
        """Request a lease at the start and after it expired; renew it in between."""
        if isinstance(event, PlatformCallCompleted):
            if event.purpose == LEASE_PURPOSE:
                self._handle_reply(event, board)
        elif isinstance(event, TimerFired):
            if event.name == LEASE_TIMER:
                if not is_call_pending(board, LEASE_PURPOSE):
                    self._request_lease(board)
                self._set_timer(board)
        elif isinstance(event, AuthorityLost):
            # The current lease belongs to the incarnation that has ended.
            discard_call(board, LEASE_PURPOSE)
            board.platform.lease_id = ""
            self._request_lease(board)
        else:
            self._request_lease(board)
            self._set_timer(board)

    def settle(self, board: Blackboard) -> None:
        """Report to the platform at once that the instance is leaving."""
        leaving = board.peers.leaving and not self._leaving_reported
        if (
            leaving
            and board.platform.lease_id
            and not is_call_pending(board, LEASE_PURPOSE)
        ):
            self._request_lease(board)

    @staticmethod
    def _set_timer(board: Blackboard) -> None:
        period_ms = board.settings.service.platform.lease_ms // RENEWALS_PER_LEASE
        early_ms = int(period_ms * JITTER_SHARE * board.random.random())
        board.set_timer(LEASE_TIMER, period_ms - early_ms)

    @staticmethod
    def _request_lease(board: Blackboard) -> None:
        state = board.platform
        if state.lease_id:
            renewal = RenewLease(state.lease_id, board.peers.leaving)
            request_call(board, LEASE_PURPOSE, renewal)
            return
        identity = board.identity
        lease_ms = board.settings.service.platform.lease_ms
        grant = GrantLease(
            identity.instance, identity.incarnation, identity.zone, lease_ms
        )
        request_call(board, LEASE_PURPOSE, grant)

    def _handle_reply(self, event: PlatformCallCompleted, board: Blackboard) -> None:
        state = board.platform
        reply = event.reply
        if not isinstance(reply, LeaseState):
            # PlatformCallsController applies the backoff to the next call.
            self._request_lease(board)
            return
        if reply.held:
            state.lease_id = reply.lease_id
            state.lease_renewed_ms = event.sent_at_ms
            call = event.call
            self._leaving_reported = isinstance(call, RenewLease) and call.leaving
            return
        board.log("WARNING", "lease_lapsed", lease_id=reply.lease_id)
        state.lease_id = ""
        held_ms = event.sent_at_ms - state.lease_renewed_ms
        if isinstance(event.call, RenewLease) and held_ms >= MIN_LEASE_HELD_MS:
            self._request_lease(board)
