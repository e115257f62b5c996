"""Retry budget (token bucket), which bounds the extra messages during faults."""

from sassafrasloft.core import Blackboard

MAX_TOKENS = 32.0
"""Number of tasks of a lost runner or zone that are placed again without delay."""
TOKENS_PER_SECOND = 2.0
"""Lets an instance without first placements still retry its last tasks."""


def refill_tokens(board: Blackboard, first_placements: int = 0) -> None:
    """Add tokens for the elapsed time and for first placements."""
    queue = board.queue
    elapsed_ms = board.now - queue.retry_tokens_ms
    queue.retry_tokens_ms = board.now
    ratio = board.settings.service.dispatch.retry_budget_ratio
    added = first_placements * ratio + elapsed_ms * TOKENS_PER_SECOND / 1_000
    queue.retry_tokens = min(MAX_TOKENS, queue.retry_tokens + added)


def take_token(board: Blackboard) -> bool:
    """Take one token; return False if there is none."""
    if board.queue.retry_tokens < 1.0:
        return False
    board.queue.retry_tokens -= 1.0
    return True
