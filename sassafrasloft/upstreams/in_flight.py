"""Removal of tasks in flight: each is removed once, as ended or as not started."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    AbandonDelivery,
    Blackboard,
    RecordSpan,
    TaskEnded,
    TaskReturned,
)
from sassafrasloft.jobs import Fate, TaskKey
from sassafrasloft.state import InFlight, RunnerState


def find_current_entry(
    state: RunnerState | None, key: TaskKey, delivery_id: str
) -> InFlight | None:
    """Return the entry of a task in flight if the delivery is its current one."""
    if state is None:
        return None
    entry = state.in_flight.get(key)
    if entry is None or entry.delivery_id != delivery_id:
        return None
    return entry


def end_task(
    board: Blackboard,
    state: RunnerState,
    key: TaskKey,
    fate: Fate,
    result: str = "",
    reason: str = "",
    run_ms: Milliseconds = 0,
) -> None:
    """Remove a task from the tasks in flight and post its final fate."""
    _remove_from_flight(board, state, key)
    name = state.settings.name
    board.post(TaskEnded(key, name, fate, result, reason, run_ms))
    _remove_if_retired(board, state)


def return_task(
    board: Blackboard, state: RunnerState, key: TaskKey, reason: str
) -> None:
    """Remove a task that is proved not to have started, so that it is sent again."""
    _remove_from_flight(board, state, key)
    board.metrics.add(f"tasks_returned_{reason}")
    board.post(TaskReturned(key, state.settings.name, reason))
    _remove_if_retired(board, state)


def abandon_delivery_if_empty(
    board: Blackboard, state: RunnerState, entry: InFlight
) -> None:
    """Close the connection of a settled task unless other tasks still use it."""
    if entry.connection_open and entry.delivery_id not in state.deliveries:
        board.metrics.add("deliveries_abandoned")
        board.emit(AbandonDelivery(state.settings.name, entry.delivery_id))


def _remove_from_flight(board: Blackboard, state: RunnerState, key: TaskKey) -> None:
    entry = state.in_flight.pop(key)
    left = state.deliveries.get(entry.delivery_id, 0) - 1
    if left > 0:
        state.deliveries[entry.delivery_id] = left
    else:
        state.deliveries.pop(entry.delivery_id, None)
        _end_span(board, state, entry.delivery_id)


def _end_span(board: Blackboard, state: RunnerState, delivery_id: str) -> None:
    span = board.upstreams.spans.pop(delivery_id, None)
    if span is not None:
        board.emit(
            RecordSpan(
                span.trace_id,
                span.span_id,
                span.parent_id,
                "delivery",
                span.start_ms,
                board.now,
                (("runner", state.settings.name), ("delivery_id", delivery_id)),
            )
        )


def _remove_if_retired(board: Blackboard, state: RunnerState) -> None:
    if state.retired and not state.in_flight:
        board.upstreams.runners.pop(state.settings.name, None)
        board.upstreams.probe_due.pop(state.settings.name, None)
