"""The controller that owns the queue of waiting tasks and places them on runners."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    Blackboard,
    Controller,
    DeliveryFailed,
    Event,
    JobAccepted,
    JobEnded,
    JobStopped,
    PeerLinkChanged,
    PeerMessageReceived,
    ProbeReported,
    SettingsAdopted,
    SettleReported,
    Started,
    TaskEnded,
    TaskReported,
    TaskReturned,
    TimerFired,
    register_controller,
)
from sassafrasloft.dispatch.homes import CandidateList, live_instances
from sassafrasloft.dispatch.lending import (
    drop_lender,
    handle_slot_offer,
    handle_slot_request,
    refresh_loan,
    request_slots,
    return_slots,
)
from sassafrasloft.dispatch.orders import Order, orders
from sassafrasloft.dispatch.placements import Placement, placements
from sassafrasloft.dispatch.placer import PlacementPass
from sassafrasloft.dispatch.queue import (
    drop_job,
    enqueue_job,
    record_task_end,
    requeue_task,
)
from sassafrasloft.dispatch.quotas import forget_silent_peers, record_team_gossip
from sassafrasloft.dispatch.retry_budget import refill_tokens
from sassafrasloft.messages import SlotOffer, SlotRequest
from sassafrasloft.upstreams import gossip_of

TIMER = "dispatch.place"
PLACE_PERIOD_MS: Milliseconds = 50
"""Period of placement passes while tasks wait. Estimates of free slots change with
time alone, and an instance whose tasks all wait may receive no other event."""

BORROW_PERIOD_MS: Milliseconds = 5
"""About the round trip of a slot request; before that no further peer can be asked."""
RETURN_TIMER = "dispatch.return"
RETURN_PERIOD_MS: Milliseconds = 100
"""Period at which borrowed slots are returned; each return is a message to a peer."""


@register_controller("dispatch", 50)
class DispatchController(Controller):
    """Queues tasks, places them while there is capacity and tracks team usage."""

    handles = (
        Started,
        SettingsAdopted,
        JobAccepted,
        JobEnded,
        JobStopped,
        TaskReturned,
        TaskEnded,
        TaskReported,
        DeliveryFailed,
        SettleReported,
        ProbeReported,
        PeerMessageReceived,
        PeerLinkChanged,
        TimerFired,
    )

    def __init__(self) -> None:
        self._order: Order | None = None
        self._placement: Placement | None = None
        self._candidates = CandidateList()
        self._may_place = False
        self._may_lend = False
        self._timer_ms: Milliseconds = -1
        self._borrow_ms: Milliseconds = -1
        self._returning = False

    def react(self, event: Event, board: Blackboard) -> None:
        """Update the queue from one event."""
        self._may_place = True
        if isinstance(event, TaskReported):
            return
        if isinstance(event, TaskEnded):
            record_task_end(board, self._orders(board), event)
        elif isinstance(event, JobAccepted):
            enqueue_job(board, self._orders(board), event)
        elif isinstance(event, (JobEnded, JobStopped)):
            drop_job(board, event.submission_id)
        elif isinstance(event, TaskReturned):
            requeue_task(board, self._orders(board), event)
        elif isinstance(event, TimerFired):
            forget_silent_peers(board)
            if event.name == TIMER:
                self._timer_ms = -1
            elif event.name == RETURN_TIMER:
                self._returning = False
        elif isinstance(event, PeerMessageReceived):
            self._handle_peer_message(event, board)
        elif isinstance(event, (PeerLinkChanged, Started)):
            self._refresh_instances(board)
            if isinstance(event, PeerLinkChanged) and not event.up:
                drop_lender(board, event.peer)
        elif isinstance(event, SettingsAdopted):
            self._adopt(board)

    def settle(self, board: Blackboard) -> None:
        """Place waiting tasks if an event in this step may have made that possible."""
        if self._may_lend:
            self._may_lend = False
            self._exchange_slots(board)
        if not self._may_place:
            return
        self._may_place = False
        if board.queue.waiting_tasks and self._place(board):
            self._may_lend = True
            return  # The tasks count as in flight once `TaskSent` is handled.
        self._exchange_slots(board)

    def _place(self, board: Blackboard) -> bool:
        """Run a placement pass; return whether any task was placed."""
        refill_tokens(board)
        order = self._orders(board)
        round_ = PlacementPass(board, order, self._placement, self._candidates)
        placed = round_.run()
        if board.queue.waiting_tasks and self._timer_ms < 0:
            self._timer_ms = board.now + PLACE_PERIOD_MS
            board.set_timer(TIMER, PLACE_PERIOD_MS)
        return placed

    def _exchange_slots(self, board: Blackboard) -> None:
        """Request slots for the remaining waiting tasks, or return unused slots."""
        queue = board.queue
        lenders = self._candidates.lenders(board)
        asks = queue.waiting_tasks and self._placement.borrows
        if asks and board.now >= self._borrow_ms:
            self._borrow_ms = board.now + BORROW_PERIOD_MS
            wanted = self._orders(board).sendable(board)
            if wanted > 0:
                request_slots(board, lenders, wanted)
        if queue.borrowed and not self._returning:
            self._returning = return_slots(board, lenders)
            if self._returning:
                board.set_timer(RETURN_TIMER, RETURN_PERIOD_MS)

    def _orders(self, board: Blackboard) -> Order:
        if self._order is None:
            self._adopt(board)
        return self._order

    def _adopt(self, board: Blackboard) -> None:
        """Create the policies in force and add the waiting jobs to the new order."""
        settings = board.settings.service.dispatch
        self._order = orders()[settings.order]()
        self._placement = placements()[settings.placement]()
        self._refresh_instances(board)
        for job in board.queue.jobs.values():
            if job.keys:
                self._order.put(board, job)

    def _handle_peer_message(
        self, event: PeerMessageReceived, board: Blackboard
    ) -> None:
        if isinstance(event.message, SlotRequest):
            handle_slot_request(
                board, self._candidates.home(board), event.peer, event.message
            )
        elif isinstance(event.message, SlotOffer):
            handle_slot_offer(board, event.peer, event.message)
        gossip = gossip_of(event, board)
        if gossip is not None:
            record_team_gossip(board, event.peer, gossip)
            refresh_loan(board, event.peer, gossip.running_by_runner)
            self._refresh_instances(board)

    def _refresh_instances(self, board: Blackboard) -> None:
        board.queue.live_instances = len(live_instances(board))
        self._candidates.refresh(board)
