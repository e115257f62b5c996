"""Renewal of the leases on one runner, and what its answers say about it."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CallRunner
from sassafrasloft.instance.events import RunnerReplied
from sassafrasloft.runs.orders import (
    HoldReply,
    HoldRuns,
    OrderOutcome,
    RunnerOrder,
    RunningRun,
)
from sassafrasloft.runs.runners import Run, RunnerView, RunState
from sassafrasloft.workload import Resources

LOOK_TIMEOUT_FACTOR = 2
"""A first contact may take longer than an order: many go out at once."""
LATE_ROUNDS = 2
"""A connection is made in one round of a late event loop and used in the next."""
LONGEST_DELAY_MS = 300
"""Of an order, because this instance is late: with `order_timeout_ms` a stop is still
sent again before a lease ends."""
NOTICED_LATE_MS = 20
"""A timeout that is noticed this late was not waited for in this process."""
LONG_RUN_MS = 500
"""The answers of waiting holds show the progress of shorter runs, or their ends."""
CLOCK_DRIFT = 0.02
"""Runners' clocks may be this much slow."""


@attrs.frozen
class Call:
    """An open call to a runner."""

    kind: str
    runner_id: str
    run: Run | None
    token: int
    times_out_at: Milliseconds

    def noticed_late(self, now: Milliseconds) -> bool:
        """Return whether this instance was late itself as the call timed out."""
        return now - self.times_out_at > NOTICED_LATE_MS


Calls = dict[int, Call]


def call_runner(
    view: RunnerView,
    kind: str,
    order: RunnerOrder,
    run: Run | None,
    board: InstanceBoard,
    calls: Calls,
    timeout_ms: Milliseconds = 0,
) -> int:
    """Send an order and remember what it was for; return the call's id."""
    call_id = board.fresh_id()
    timeout_ms = timeout_ms or board.tuning.order_timeout_ms
    timeout_ms += min(LONGEST_DELAY_MS, LATE_ROUNDS * board.rights.late_ms)
    token, until = order.fencing_token, board.now + timeout_ms
    calls[call_id] = Call(kind, view.runner_id, run, token, until)
    entry = view.entry
    board.emit(CallRunner(call_id, entry.runner_id, entry.address, order, timeout_ms))
    return call_id


def runner_clock(view: RunnerView, now: int) -> int | None:
    """Return the runner's clock, never too late; None if it is not known."""
    return None if view.clock_offset is None else now + view.clock_offset


def lease_end(view: RunnerView, board: InstanceBoard) -> int:
    """Return the end of a lease granted now, on the runner's clock; 0 if unknown."""
    clock = runner_clock(view, board.now)
    if clock is None:
        return 0
    prolong(view, board)
    return clock + board.tuning.lease_ms


def prolong(view: RunnerView, board: InstanceBoard) -> None:
    """Note that all runs on a runner may now live for another lease.

    Our estimate of the runner's clock is late by at most one answer's travel.
    """
    until = board.now + board.tuning.lease_ms
    view.lease_until = max(view.lease_until, until)
    for run in view.runs.values():
        run.lease_until = max(run.lease_until, until)


def look(view: RunnerView, board: InstanceBoard, calls: Calls) -> None:
    """Ask for the runs on a runner at once, beside a waiting hold."""
    token = board.rights.token_for(view.entry.zone)
    # A runner that does not answer must not keep its runs: its leases have to end
    # at a known time.
    keep = board.pool.keeps_runs(view) and not view.unanswered
    prolonged = lease_end(view, board) if keep else 0
    order = HoldRuns(token, prolonged, view.seen_end, 0)
    view.tried_at = board.now
    timeout = board.tuning.order_timeout_ms * LOOK_TIMEOUT_FACTOR
    call_runner(view, "look", order, None, board, calls, timeout)


def continue_holding(view: RunnerView, board: InstanceBoard, calls: Calls) -> None:
    """Keep one waiting hold open on each runner that answers."""
    if view.hold_call or view.fenced or not view.contacted:
        return
    tuning = board.tuning
    wait_ms = tuning.renewal_ms if view.runs else tuning.longest_idle_wait_ms
    token = board.rights.token_for(view.entry.zone)
    lease = lease_end(view, board) if board.pool.keeps_runs(view) else 0
    order = HoldRuns(token, lease, view.seen_end, wait_ms)
    timeout = wait_ms + tuning.hold_slack_ms
    view.hold_call = call_runner(view, "hold", order, None, board, calls, timeout)


def keep_holding(view: RunnerView, board: InstanceBoard, calls: Calls) -> None:
    """Renew leases that an idle hold does not renew, and retry contacts."""
    tuning = board.tuning
    if not view.contacted or view.unanswered:
        # One lost answer says little; a runner that is gone is asked more rarely.
        pause = 0 if view.unanswered == 1 else tuning.renewal_ms
        if board.now - view.tried_at >= pause:
            look(view, board, calls)
        return
    due = view.lease_until - tuning.lease_ms + tuning.renewal_ms + SWEEP_SLACK_MS
    if board.pool.keeps_runs(view) and (board.now >= due or look_is_due(view, board)):
        look(view, board, calls)
    continue_holding(view, board, calls)


def look_is_due(view: RunnerView, board: InstanceBoard) -> bool:
    """Return whether a list would tell news, and was not asked for lately."""
    if board.now - view.tried_at < board.tuning.look_again_ms:
        return False
    return any(
        run.state is RunState.RUNNING
        and (_end_is_late(run, board) or _progress_is_unknown(run, board.now))
        for run in view.runs.values()
    )


def _end_is_late(run: Run, board: InstanceBoard) -> bool:
    tuning = board.tuning
    latest = board.now - tuning.late_end_slack_ms
    return (
        run.percent_read_at < run.accepted_at + run.expected_here_ms
        and run.accepted_at + tuning.late_end_factor * run.expected_here_ms < latest
    )


def _progress_is_unknown(run: Run, now: Milliseconds) -> bool:
    """Return whether a long run may stand still since its start."""
    due = run.accepted_at + run.stall_ms
    return run.expected_here_ms >= LONG_RUN_MS and run.percent_read_at < due <= now


SWEEP_SLACK_MS = 60
"""A renewal by the waiting hold may be this late before another look is sent."""


def note_answer(
    view: RunnerView, event: RunnerReplied, call: Call, board: InstanceBoard
) -> None:
    """Learn the runner's clock and whether it answers.

    Load pattern: an overloaded scheduler notices timeouts before answers that wait to
    be read, and before connections that wait to be used.
    """
    reply, kind = event.reply, call.kind
    silent = reply.outcome in (OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT)
    if silent and call.noticed_late(board.now):
        board.count("timeouts_noticed_late")
        return
    if silent:
        view.unanswered += 1
        if view.out_of_touch_since < 0:
            view.out_of_touch_since = board.now
        if view.unanswered == 1:
            board.log(
                "runner_silent",
                "WARNING",
                runner=view.runner_id,
                order=kind,
                outcome=reply.outcome.value,
            )
        return
    if view.unanswered:
        board.log("runner_answers", runner=view.runner_id)
    view.unanswered = 0
    if view.contacted or kind in ("look", "hold"):
        view.out_of_touch_since = -1
    view.last_answer_at = board.now
    if reply.runner_clock_ms >= 0:
        learn_clock(view, reply.runner_clock_ms, board.now)


def learn_clock(view: RunnerView, clock: Milliseconds, now: Milliseconds) -> None:
    """Keep the best lower bound of the offset of a runner's clock."""
    offset = clock - now
    if view.clock_offset is not None:
        drift = (now - view.clock_read_at) * CLOCK_DRIFT
        offset = max(offset, int(view.clock_offset - drift - 1))
    view.clock_offset = offset
    view.clock_read_at = now


def is_new_process(view: RunnerView, reply: HoldReply) -> bool:
    """Return whether another process answers than the one that was known."""
    return 0 <= view.born_at_ms < reply.started_at_ms


def in_takeover(view: RunnerView, board: InstanceBoard) -> bool:
    """Return whether instances may still hand in jobs of an earlier scheduler."""
    grace = 0 if board.pool.acting else board.tuning.orphan_grace_ms
    return board.now - view.contacted_at <= grace


def note_orphan(view: RunnerView, listed: RunningRun, board: InstanceBoard) -> None:
    """Keep a run that no known job asked for until its job arrives."""
    if listed.task in board.pool.orphans or listed.task in board.pool.live_runs:
        return
    run = Run(
        listed.task,
        listed.number,
        view.runner_id,
        Resources(),
        0.0,
        RunState.RUNNING,
        board.now,
        accepted_at=board.now,
        accepted_id=board.fresh_id(),
        lease_until=board.now + board.settings.longest_lease_ms,
        adopted=True,
        percent_done=listed.percent_done,
    )
    board.pool.orphans[listed.task] = run
    view.add(run)
