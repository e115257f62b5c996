"""Polls of a runner, which renew its leases and report its runs and its clock."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CallRunner
from sassafrasloft.instance.events import RunnerReplied
from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.runs.orders import (
    TOKEN_ACCEPTED_OUTCOMES,
    CommandOutcome,
    PollReply,
    PollRuns,
    RunnerCommand,
    RunningRun,
)
from sassafrasloft.runs.runners import Run, RunnerView, RunState
from sassafrasloft.workload import Resources

POLL_TIMEOUT_FACTOR = 2
"""An immediate poll may take longer than other commands: after a takeover many are sent
at once."""
EVENT_LOOP_ROUNDS_PER_CALL = 2
"""A delayed event loop opens a connection in one iteration and uses it in the next."""
MAX_TIMEOUT_EXTENSION_MS = 300
"""Extension of a timeout when this instance is delayed. Together with
`order_timeout_ms` it still lets a stop be sent again before a lease expires."""
LATE_TIMEOUT_THRESHOLD_MS = 20
"""A timeout detected later than this is due to a delay of this process."""
LONG_RUN_THRESHOLD_MS = 500
"""Long polls return often enough to show the progress or the end of shorter runs."""
MS_PER_IDLE_POLL = 1
"""Milliseconds between the polls of any two idle runners: a thousand polls a second."""
LONGEST_POLL_WAIT_MS: Milliseconds = 2_000
"""Runners answer a long poll after this time at the latest."""
MAX_CLOCK_DRIFT = 0.02
"""Fraction by which the clock of a runner may run slow."""


@attrs.frozen
class OpenCall:
    """A call to a runner that has no reply yet."""

    kind: str
    runner_id: str
    run: Run | None
    token: int
    times_out_at: Milliseconds

    def detected_late(self, now: Milliseconds) -> bool:
        """Return whether this instance was delayed when the call timed out."""
        return now - self.times_out_at > LATE_TIMEOUT_THRESHOLD_MS


OpenCalls = dict[int, OpenCall]


def call_runner(
    view: RunnerView,
    kind: str,
    order: RunnerCommand,
    run: Run | None,
    board: InstanceBoard,
    calls: OpenCalls,
    timeout_ms: Milliseconds = 0,
) -> int:
    """Send a command, record the open call and return its id."""
    call_id = board.fresh_id()
    timeout_ms = timeout_ms or board.tuning.order_timeout_ms
    timeout_ms += min(
        MAX_TIMEOUT_EXTENSION_MS,
        EVENT_LOOP_ROUNDS_PER_CALL * board.leadership.heartbeat_delay_ms,
    )
    token, until = order.fencing_token, board.now + timeout_ms
    calls[call_id] = OpenCall(kind, view.runner_id, run, token, until)
    entry = view.entry
    board.emit(CallRunner(call_id, entry.runner_id, entry.address, order, timeout_ms))
    return call_id


def estimate_runner_clock(view: RunnerView, now: int) -> int | None:
    """Return a lower bound of the runner's clock; None if it is unknown."""
    return None if view.clock_offset is None else now + view.clock_offset


def renew_leases(view: RunnerView, board: InstanceBoard) -> int:
    """Record a renewal of all leases; return the expiry on the runner's clock.

    Returns 0 and records nothing if the clock is unknown.
    """
    clock = estimate_runner_clock(view, board.now)
    if clock is None:
        return 0
    record_lease_renewal(view, board)
    return clock + board.tuning.lease_ms


def record_lease_renewal(view: RunnerView, board: InstanceBoard) -> None:
    """Record that all runs on a runner may continue for another lease.

    The estimate of the runner's clock lags by at most the transit time of one reply.
    """
    until = board.now + board.tuning.lease_ms
    view.lease_until = max(view.lease_until, until)
    for run in view.runs.values():
        run.lease_until = max(run.lease_until, until)


def poll_now(view: RunnerView, board: InstanceBoard, calls: OpenCalls) -> None:
    """Ask a runner for its runs without waiting, in addition to an open long poll."""
    token = board.leadership.token_for(view.entry.zone)
    # The leases of a runner that does not reply are not renewed, so that they expire
    # at a known time.
    keep = board.pool.has_leases_to_renew(view) and not view.unanswered
    prolonged = renew_leases(view, board) if keep else 0
    order = PollRuns(token, prolonged, view.seen_end, 0)
    view.last_poll_at = board.now
    timeout = board.tuning.order_timeout_ms * POLL_TIMEOUT_FACTOR
    call_runner(view, "look", order, None, board, calls, timeout)


def idle_poll_wait_ms(board: InstanceBoard) -> Milliseconds:
    """Return how long a poll of a runner without runs waits.

    Load pattern: thousands of idle runners, each of which is polled all the time. Above
    a thousand runners the rate of polls stays at a thousand a second, up to the longest
    wait that runners grant.
    """
    shortest = board.tuning.longest_idle_wait_ms
    paced = len(board.pool.runners) * MS_PER_IDLE_POLL
    return max(shortest, min(paced, LONGEST_POLL_WAIT_MS))


def ensure_long_poll(view: RunnerView, board: InstanceBoard, calls: OpenCalls) -> None:
    """Open a long poll on a runner that replies, unless one is open."""
    if view.long_poll_call or view.fenced or not view.contacted:
        return
    tuning = board.tuning
    wait_ms = tuning.renewal_ms if view.runs else idle_poll_wait_ms(board)
    token = board.leadership.token_for(view.entry.zone)
    lease = renew_leases(view, board) if board.pool.has_leases_to_renew(view) else 0
    order = PollRuns(token, lease, view.seen_end, wait_ms)
    timeout = wait_ms + tuning.hold_slack_ms
    view.long_poll_call = call_runner(view, "hold", order, None, board, calls, timeout)


def maintain_contact(view: RunnerView, board: InstanceBoard, calls: OpenCalls) -> None:
    """Renew leases that an idle long poll does not renew; poll unresponsive runners."""
    tuning = board.tuning
    if not view.contacted or view.unanswered:
        if board.now - view.last_poll_at >= _pause_between_polls(view, board):
            poll_now(view, board, calls)
        return
    due = view.lease_until - tuning.lease_ms + tuning.renewal_ms + RENEWAL_SLACK_MS
    if board.pool.has_leases_to_renew(view) and (
        board.now >= due or poll_is_due(view, board)
    ):
        poll_now(view, board, calls)
    ensure_long_poll(view, board, calls)


def _pause_between_polls(view: RunnerView, board: InstanceBoard) -> Milliseconds:
    """Return the time between polls of a runner that has not listed its runs.

    Load pattern: a scheduler fails while runners reject a share of all commands. Jobs
    of the predecessor wait until each runner has listed its runs, so that a runner that
    rejects polls is polled more often than one that is silent.
    """
    tuning = board.tuning
    if view.unanswered == 1:
        # A single lost reply.
        return 0
    rejected = not view.unanswered and view.contact_rejected_at >= view.last_poll_at
    if rejected and board.now - view.no_contact_since <= predecessor_lease_ms(tuning):
        return tuning.look_again_ms
    return tuning.renewal_ms


def predecessor_lease_ms(tuning: Tuning) -> Milliseconds:
    """Return how long after its loss runs of a predecessor scheduler may go on.

    An unreachable predecessor renews leases until it has given up its followers.
    """
    follower_loss_ms = tuning.silence_ms + tuning.silent_grace_ms
    return tuning.lease_ms + tuning.lapse_margin_ms + follower_loss_ms


def poll_is_due(view: RunnerView, board: InstanceBoard) -> bool:
    """Return whether a poll would bring news and none was sent recently."""
    if board.now - view.last_poll_at < board.tuning.look_again_ms:
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
        run.progress_reported_at < run.accepted_at + run.expected_on_runner_ms
        and run.accepted_at + tuning.late_end_factor * run.expected_on_runner_ms
        < latest
    )


def _progress_is_unknown(run: Run, now: Milliseconds) -> bool:
    """Return whether a long run may have been stalled since its start."""
    due = run.accepted_at + run.stall_limit_ms
    return (
        run.expected_on_runner_ms >= LONG_RUN_THRESHOLD_MS
        and run.progress_reported_at < due <= now
    )


RENEWAL_SLACK_MS = 60
"""Delay of a renewal by the long poll after which an immediate poll is sent."""


def record_reply(
    view: RunnerView, event: RunnerReplied, call: OpenCall, board: InstanceBoard
) -> None:
    """Update the runner's clock and whether it replies.

    Load pattern: an overloaded scheduler handles timeouts before it reads the replies
    that have arrived and before it uses connections that are ready.
    """
    reply = event.reply
    silent = reply.outcome in (CommandOutcome.UNKNOWN, CommandOutcome.NOT_SENT)
    if silent and call.detected_late(board.now):
        board.count("timeouts_noticed_late")
        return
    if silent:
        _record_silence(view, call, reply.outcome, board)
        return
    if view.unanswered:
        board.log("runner_answers", runner=view.runner_id)
    view.unanswered = 0
    view.last_answer_at = board.now
    if reply.outcome is CommandOutcome.UNHEALTHY and not view.contacted:
        _record_rejected_contact(view, board)
    # The list of runs in the reply to a poll is examined apart from this.
    if view.contacted and not isinstance(reply, PollReply):
        accepted = reply.outcome in TOKEN_ACCEPTED_OUTCOMES
        if accepted and is_under_current_token(call, view, board):
            view.no_contact_since = -1
    if reply.runner_clock_ms >= 0:
        update_clock_offset(view, reply.runner_clock_ms, board.now)


def _record_silence(
    view: RunnerView, call: OpenCall, outcome: CommandOutcome, board: InstanceBoard
) -> None:
    view.unanswered += 1
    if view.no_contact_since < 0:
        view.no_contact_since = board.now
    if view.unanswered == 1:
        board.log(
            "runner_silent",
            "WARNING",
            runner=view.runner_id,
            order=call.kind,
            outcome=outcome.value,
        )


def _record_rejected_contact(view: RunnerView, board: InstanceBoard) -> None:
    if view.contact_rejected_at < 0:
        board.log("runner_contact_rejected", "WARNING", runner=view.runner_id)
    view.contact_rejected_at = board.now


def is_under_current_token(
    call: OpenCall, view: RunnerView, board: InstanceBoard
) -> bool:
    """Return whether a call was made under the fencing token in force.

    After the token has changed, another scheduler may have used the runner since an
    earlier call was carried out.
    """
    return call.token == board.leadership.token_for(view.entry.zone)


def record_contact(view: RunnerView, board: InstanceBoard) -> None:
    """Record that a runner has listed all of its runs under the token in force."""
    if not view.contacted:
        view.contacted_at = board.now
        board.log(
            "runner_contacted",
            runner=view.runner_id,
            rejected=view.contact_rejected_at >= 0,
        )
    view.contacted = True
    view.no_contact_since = -1


def update_clock_offset(
    view: RunnerView, clock: Milliseconds, now: Milliseconds
) -> None:
    """Update the lower bound of the offset of a runner's clock."""
    offset = clock - now
    if view.clock_offset is not None:
        drift = (now - view.clock_read_at) * MAX_CLOCK_DRIFT
        offset = max(offset, int(view.clock_offset - drift - 1))
    view.clock_offset = offset
    view.clock_read_at = now


def is_new_incarnation(view: RunnerView, reply: PollReply) -> bool:
    """Return whether the reply comes from a newer process of the runner."""
    return 0 <= view.process_started_at_ms < reply.started_at_ms


def in_takeover_grace(view: RunnerView, board: InstanceBoard) -> bool:
    """Return whether instances may still submit jobs of the predecessor scheduler."""
    grace = 0 if board.pool.acting else board.tuning.orphan_grace_ms
    return board.now - view.contacted_at <= grace


def add_orphan(view: RunnerView, listed: RunningRun, board: InstanceBoard) -> None:
    """Add a run without a known job as an orphan until its job is submitted."""
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
        accepted_sequence=board.fresh_id(),
        lease_until=board.now + board.settings.longest_lease_ms,
        adopted=True,
        percent_done=listed.percent_done,
    )
    board.pool.orphans[listed.task] = run
    view.add(run)
