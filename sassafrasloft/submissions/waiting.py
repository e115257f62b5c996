"""Requests that wait for the answer to a job of this instance."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    RequestAbandoned,
    TimerFired,
    register_controller,
)
from sassafrasloft.jobs import Answer, running_answer
from sassafrasloft.state import Requester, Waiter
from sassafrasloft.submissions.refusals import RUNNING_RETRY_MS
from sassafrasloft.submissions.requests import Request, answer_request

WAIT_TIMER = "submissions.wait/"

MAX_WAITERS_PER_JOB = 16
"""A caller needs one; more requests are told at once that the job runs."""


def wait_for_answer(board: Blackboard, request: Request, wait_ms: Milliseconds) -> None:
    """Let a request wait, or tell it that the job runs if it may not wait."""
    wait_ms = min(wait_ms, board.settings.service.limits.max_wait_ms)
    waiters = board.jobs.waiters.get(request.submission_id, [])
    if wait_ms <= 0 or len(waiters) >= MAX_WAITERS_PER_JOB:
        answer = running_answer(request.submission_id, RUNNING_RETRY_MS)
        answer_request(board, request.requester, request.team, answer)
        return
    requester = request.requester
    waiter = Waiter(
        request.submission_id,
        board.now + wait_ms,
        requester.request_id,
        requester.peer,
        requester.forward_id,
    )
    board.jobs.waiters[request.submission_id] = [*waiters, waiter]
    board.set_timer(f"{WAIT_TIMER}{requester.key}", wait_ms)


def answer_waiters(
    board: Blackboard, submission_id: str, team: str, answer: Answer
) -> None:
    """Reply to all requests that wait for a job."""
    for waiter in board.jobs.waiters.pop(submission_id, []):
        answer_request(board, _requester(waiter), team, answer)


def _requester(waiter: Waiter) -> Requester:
    return Requester(waiter.request_id, waiter.peer, waiter.forward_id)


def take_waiter(board: Blackboard, key: str) -> Waiter | None:
    """Remove and return the waiter of a request, given `Requester.key`."""
    submission_id = board.jobs.open_requests.get(key, "")
    waiters = board.jobs.waiters.get(submission_id, [])
    for position, waiter in enumerate(waiters):
        if _requester(waiter).key == key:
            del waiters[position]
            if not waiters:
                del board.jobs.waiters[submission_id]
            return waiter
    return None


@register_controller("submissions.waiting", 30)
class WaitingController(Controller):
    """Ends waits that took too long or whose caller is gone."""

    handles = (TimerFired, RequestAbandoned)

    def react(self, event: Event, board: Blackboard) -> None:
        """Reply that the job runs, or forget the request."""
        if isinstance(event, RequestAbandoned):
            self._abandon(event.request_id, board)
        elif event.name.startswith(WAIT_TIMER):
            self._end_wait(event.name.removeprefix(WAIT_TIMER), board)

    def _end_wait(self, key: str, board: Blackboard) -> None:
        waiter = take_waiter(board, key)
        if waiter is None:
            return
        answer = running_answer(waiter.submission_id, RUNNING_RETRY_MS)
        answer_request(board, _requester(waiter), "", answer)

    def _abandon(self, request_id: str, board: Blackboard) -> None:
        key = Requester(request_id=request_id).key
        take_waiter(board, key)
        board.jobs.open_requests.pop(key, None)
        for forward_id, pending in list(board.jobs.forwards.items()):
            if pending.requester.key == key:
                del board.jobs.forwards[forward_id]
