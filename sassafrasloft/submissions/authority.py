"""What happens to submissions when an instance loses its authority."""

from sassafrasloft.core import (
    AuthorityLost,
    Blackboard,
    Controller,
    Event,
    register_controller,
)
from sassafrasloft.submissions.completion import finish_if_ended, stop_job
from sassafrasloft.submissions.handover import give_up_handover
from sassafrasloft.submissions.ids import own_ledger
from sassafrasloft.submissions.refusals import FailureKind


@register_controller("submissions.authority", 36)
class AuthorityController(Controller):
    """Accepts and starts nothing more under incarnations that have ended.

    Other instances may have taken this one for gone, and have told callers that
    jobs of it did not run. Results of tasks in flight are still collected.
    """

    handles = (AuthorityLost,)

    def react(self, event: Event, board: Blackboard) -> None:
        """Close the ledgers and stop the jobs of the ended incarnation."""
        fresh = own_ledger(board)
        for ledger in board.jobs.ledgers.values():
            if ledger is not fresh:
                ledger.accepting = False
        fresh.accepting = not board.jobs.draining
        drain = board.jobs.drain
        if drain is not None and not drain.given_up:
            give_up_handover(board, drain)
        detail = "the instance was taken for gone after a pause or a cut"
        for record in list(board.jobs.running.values()):
            if not record.failed_kind:
                stop_job(board, record, FailureKind.AUTHORITY_LOST, detail)
            finish_if_ended(board, record)
