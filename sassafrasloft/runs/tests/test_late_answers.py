"""Tests of how a delayed scheduler judges runners that do not reply."""

import attrs
import pytest

from sassafrasloft.instance.commands import CallRunner
from sassafrasloft.instance.events import RunnerReplied
from sassafrasloft.runs.orders import CommandOutcome, StartReply, StopRun
from sassafrasloft.runs.polling import (
    MAX_TIMEOUT_EXTENSION_MS,
    call_runner,
    record_reply,
)
from sassafrasloft.testing.fleet.tests.situations import scheduler_of, settled_world


@pytest.fixture
def board():
    world = settled_world(runners=1)
    return world.instances[scheduler_of(world)].core.board


def stop_sent(board):
    """Send a stop to a runner; return the runner, the call and the command."""
    view = next(iter(board.pool.runners.values()))
    calls = {}
    call_id = call_runner(view, "stop", StopRun(1, "task", 1), None, board, calls)
    command = board.take_commands()[-1]
    assert isinstance(command, CallRunner)
    return view, calls[call_id], command


def time_out(view, call, board, noticed_after_ms):
    board.now = call.times_out_at + noticed_after_ms
    event = RunnerReplied(1, StartReply(CommandOutcome.NOT_SENT))
    record_reply(view, event, call, board)


def test_a_timeout_detected_late_does_not_count_against_the_runner(board):
    """Guards against an overloaded scheduler that leaves healthy runners unused."""
    view, call, _ = stop_sent(board)
    time_out(view, call, board, 100)
    assert view.unanswered == 0
    assert board.counters["timeouts_noticed_late"] == 1


def test_a_timeout_detected_on_time_counts_against_the_runner(board):
    """Guards against using a runner that does not reply."""
    view, call, _ = stop_sent(board)
    time_out(view, call, board, 5)
    assert view.unanswered == 1


@pytest.mark.parametrize(
    ("late_ms", "longer_ms"), [(0, 0), (50, 100), (1_000, MAX_TIMEOUT_EXTENSION_MS)]
)
def test_a_delayed_scheduler_waits_longer_for_replies(board, late_ms, longer_ms):
    """Guards against commands that time out before the event loop handles them."""
    board.leadership.heartbeat_delay_ms = late_ms
    _, _, command = stop_sent(board)
    assert command.timeout_ms == board.tuning.order_timeout_ms + longer_ms


@pytest.mark.parametrize(
    ("outcome", "confirms"),
    [(CommandOutcome.UNHEALTHY, False), (CommandOutcome.SUPERSEDED, True)],
)
def test_only_a_runner_that_has_compared_the_token_confirms_it(
    board, outcome, confirms
):
    """Guards against taking a rejection for proof that no other scheduler is active."""
    view, call, _ = stop_sent(board)
    token = board.leadership.token_for(view.entry.zone)
    call = attrs.evolve(call, token=token)
    view.no_contact_since = board.now
    record_reply(view, RunnerReplied(1, StartReply(outcome)), call, board)
    assert (view.no_contact_since == -1) is confirms
