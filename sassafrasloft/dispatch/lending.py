"""Lending of home slots between instances.

Every runner has one home instance. An instance whose home runners are full
requests slots from its peers. A peer lends the slots that it does not need and
counts them as occupied until they are returned, so only one instance may use a
slot at a time and instances do not compete for slots.

If the lender receives no message about a loan, it replaces the loan by the
running tasks in the peer's gossip. If both sides disagree, for example after a
restart, the runner refuses the task, which is then placed again.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import Blackboard, SendToPeer
from sassafrasloft.dispatch.estimates import usable
from sassafrasloft.dispatch.homes import Candidate
from sassafrasloft.messages import SlotOffer, SlotRequest
from sassafrasloft.state import BorrowedSlots, LentSlots, RunnerState

RESERVED_SHARE = 0.05
"""Share of the home slots that is not lent, reserved for the next small job."""
OFFER_VALID_MS: Milliseconds = 600
"""Validity of an offer: lent slots accept new tasks for this time."""
FRESH_REPLY_MS: Milliseconds = 20
HOME_CHANGE_GRACE_MS: Milliseconds = 2_000
"""For this time after its home set has changed, an instance also counts the tasks
of peers on home runners that are known from gossip."""
REPORT_PERIOD_MS: Milliseconds = 1_000
"""Occupied slots are reported at least this often, since a message may be lost."""
STALE_LOAN_MS: Milliseconds = 3_000
REPLY_TIMEOUT_MS: Milliseconds = 100
"""Time after which a slot request without a reply may be repeated."""
MIN_REQUEST_INTERVAL_MS: Milliseconds = 100
"""Minimum interval between slot requests to the same peer."""
DENIED_BACKOFF_MS: Milliseconds = 600
"""Time without further requests to a peer that had no slot to lend."""


def lent_slots(board: Blackboard, runner: str) -> int:
    """Return how many slots of a home runner are lent."""
    return sum(loan.slots.get(runner, 0) for loan in board.queue.loans.values())


def home_free(board: Blackboard, state: RunnerState) -> int:
    """Return the free slots of a home runner that are not lent."""
    taken = lent_slots(board, state.settings.name)
    known_ms = state.free_known_ms
    if known_ms >= 0 and board.now - known_ms <= FRESH_REPLY_MS:
        taken = max(taken, state.others_running)
    if board.now - board.queue.homes_changed_ms < HOME_CHANGE_GRACE_MS:
        taken = max(taken, state.peers_running)
    return state.settings.slots - len(state.in_flight) - taken


def borrowed_free(board: Blackboard, candidate: Candidate) -> int:
    """Return the free slots of a peer's runner that were lent to this instance."""
    borrowed = board.queue.borrowed.get(candidate.owner)
    if borrowed is None or board.now >= borrowed.until_ms:
        return 0
    return borrowed.slots.get(candidate.name, 0) - len(candidate.state.in_flight)


# Lender.


def handle_slot_request(
    board: Blackboard, home: list[Candidate], peer: str, request: SlotRequest
) -> None:
    """Apply the slots that a peer reports as occupied, and lend it free slots."""
    names = {one.name for one in home}
    loan = board.queue.loans.setdefault(peer, LentSlots())
    loan.heard_ms = board.now
    loan.slots = {
        name: count for name, count in request.occupied.items() if name in names
    }
    if request.wanted > 0:
        if not board.queue.waiting_tasks and not board.jobs.draining:
            _extend_loan(board, home, loan, request.wanted)
        slots = dict(loan.slots)
        board.emit(SendToPeer(peer, SlotOffer(slots, OFFER_VALID_MS, request.sequence)))
    if not loan.slots:
        del board.queue.loans[peer]


def _extend_loan(
    board: Blackboard, home: list[Candidate], loan: LentSlots, wanted: int
) -> None:
    free = {
        one.name: home_free(board, one.state)
        for one in home
        if usable(board, one.state)
    }
    slots = sum(one.state.settings.slots for one in home)
    left = min(wanted, sum(free.values()) - int(slots * RESERVED_SHARE))
    for name in sorted(free, key=lambda name: -free[name]):
        count = min(left, free[name])
        if count <= 0:
            break
        loan.slots[name] = loan.slots.get(name, 0) + count
        left -= count


def refresh_loan(board: Blackboard, peer: str, running: dict[str, int]) -> None:
    """Replace a stale loan by the running tasks that the peer's gossip reports."""
    loan = board.queue.loans.get(peer)
    if loan is None or board.now - loan.heard_ms < STALE_LOAN_MS:
        return
    loan.slots = {name: running[name] for name in loan.slots if running.get(name)}
    if not loan.slots:
        del board.queue.loans[peer]


# Borrower.


def handle_slot_offer(board: Blackboard, peer: str, offer: SlotOffer) -> None:
    """Record the slots that a peer has lent, unless the offer is out of date."""
    borrowed = board.queue.borrowed.get(peer)
    if borrowed is None or borrowed.request_sent_ms < 0:
        return
    if offer.sequence != borrowed.sequence:
        return  # Out of date: a newer request has returned these slots.
    borrowed.request_sent_ms = -1
    if sum(offer.slots.values()) <= sum(borrowed.reported_slots.values()):
        borrowed.next_request_ms = board.now + DENIED_BACKOFF_MS
    borrowed.slots = dict(offer.slots)
    borrowed.reported_slots = dict(offer.slots)
    borrowed.until_ms = board.now + offer.valid_ms


def request_slots(
    board: Blackboard, lenders: dict[str, list[Candidate]], wanted: int
) -> None:
    """Request slots from peers in order of preference until enough are expected."""
    left = wanted
    for peer, runners in lenders.items():
        if left <= 0:
            break
        state = board.peers.peers.get(peer)
        if state is None or not state.up or state.leaving:
            continue
        if state.gossip is not None and state.gossip.waiting_tasks:
            continue  # A peer lends nothing while its own tasks wait.
        if not _may_request(board, peer):
            continue
        expected = _expected_free(runners)
        if expected <= 0:
            continue
        _ask(board, peer, runners, left)
        left -= expected


def return_slots(board: Blackboard, lenders: dict[str, list[Candidate]]) -> bool:
    """Return unused slots to peers; return whether any slots are still borrowed."""
    for peer, borrowed in list(board.queue.borrowed.items()):
        if borrowed.request_sent_ms >= 0:
            if board.now - borrowed.request_sent_ms < REPLY_TIMEOUT_MS:
                continue
            borrowed.request_sent_ms = -1  # Request or reply lost; slots may be lent.
            borrowed.reported_ms = -REPORT_PERIOD_MS
        if board.queue.waiting_tasks and board.now < borrowed.until_ms:
            continue
        occupied = _occupied(lenders.get(peer, []))
        borrowed.slots = occupied
        borrowed.until_ms = -1
        repeat = board.now - borrowed.reported_ms >= REPORT_PERIOD_MS
        if occupied != borrowed.reported_slots or (
            repeat and (occupied or borrowed.reported_ms < 0)
        ):
            _tell(board, peer, borrowed, 0, occupied)
        elif not occupied and board.now >= borrowed.next_request_ms:
            del board.queue.borrowed[peer]
    return bool(board.queue.borrowed)


def drop_lender(board: Blackboard, peer: str) -> None:
    """Discard the slots lent by a peer that cannot be reached."""
    board.queue.borrowed.pop(peer, None)


def _may_request(board: Blackboard, peer: str) -> bool:
    borrowed = board.queue.borrowed.get(peer)
    if borrowed is None:
        return True
    if borrowed.request_sent_ms >= 0:
        return board.now - borrowed.request_sent_ms >= REPLY_TIMEOUT_MS
    return board.now >= borrowed.next_request_ms


def _ask(board: Blackboard, peer: str, runners: list[Candidate], wanted: int) -> None:
    occupied = _occupied(runners)
    borrowed = board.queue.borrowed.setdefault(peer, BorrowedSlots())
    borrowed.request_sent_ms = board.now
    borrowed.next_request_ms = board.now + MIN_REQUEST_INTERVAL_MS
    borrowed.slots = occupied
    borrowed.until_ms = -1
    board.metrics.add("slot_requests")
    _tell(board, peer, borrowed, wanted, occupied)


def _tell(
    board: Blackboard,
    peer: str,
    borrowed: BorrowedSlots,
    wanted: int,
    occupied: dict[str, int],
) -> None:
    board.queue.slot_requests += 1
    borrowed.sequence = board.queue.slot_requests
    borrowed.reported_slots = occupied
    borrowed.reported_ms = board.now
    request = SlotRequest(wanted, occupied, borrowed.sequence)
    board.emit(SendToPeer(peer, request))


def _occupied(runners: list[Candidate]) -> dict[str, int]:
    return {
        one.name: len(one.state.in_flight) for one in runners if one.state.in_flight
    }


def _expected_free(runners: list[Candidate]) -> int:
    return sum(
        one.state.settings.slots - len(one.state.in_flight) - one.state.peers_running
        for one in runners
    )
