"""Stops of runs, each sent until its runner confirms it or the run must have ended.

Load pattern: an overloaded runner rejects a share of all commands, or its replies are
lost, while runs on it have to stop. A lease holds for all runs on a runner, so that
none is renewed there before the stop is confirmed: the run ends with its lease at the
latest.
"""

from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.runs import polling
from sassafrasloft.runs.orders import CommandOutcome, StopRun
from sassafrasloft.runs.runners import Run, RunnerView, RunState


def request_stop(
    view: RunnerView, run: Run, board: InstanceBoard, calls: polling.OpenCalls
) -> None:
    """Stop a run; without effect if its runner has confirmed a stop already."""
    if run.state is not RunState.UNCERTAIN:
        run.state = RunState.STOPPING
    if run.stop_confirmed_sequence:
        return
    view.unconfirmed_stops[run.task] = run
    if not run.stop_call:
        _send_stop(view, run, board, calls)


def repeat_stops(
    view: RunnerView, board: InstanceBoard, calls: polling.OpenCalls
) -> None:
    """Send the unconfirmed stops of a runner again that have failed."""
    for run in view.unconfirmed_stops.values():
        if not run.stop_call:
            _send_stop(view, run, board, calls)


def _send_stop(
    view: RunnerView, run: Run, board: InstanceBoard, calls: polling.OpenCalls
) -> None:
    """Send a stop unless the last one is too recent or the lease has expired."""
    paused_ms = board.now - run.stop_sent_at
    if run.stop_sent_at >= 0 and paused_ms < board.tuning.stop_retry_ms:
        return
    if view.fenced or board.now >= run.lease_until:
        return
    token = board.leadership.token_for(view.entry.zone)
    order = StopRun(token, run.task, run.number)
    run.stop_sent_at = board.now
    run.stop_call = polling.call_runner(view, "stop", order, run, board, calls)


def handle_stop_reply(
    view: RunnerView,
    run: Run,
    outcome: CommandOutcome,
    board: InstanceBoard,
    calls: polling.OpenCalls,
) -> None:
    """Record a confirmed stop, or send one that failed again."""
    run.stop_call = 0
    if view.unconfirmed_stops.get(run.task) is not run:
        return
    if outcome is CommandOutcome.DONE:
        del view.unconfirmed_stops[run.task]
        run.stop_confirmed_sequence = board.fresh_id()
        board.pool.changed = True
        polling.poll_now(view, board, calls)
        return
    board.count(f"stops_failed_{outcome.value}")
    if not run.stop_failed:
        run.stop_failed = True
        board.log(
            "stop_failed",
            "WARNING",
            runner=view.runner_id,
            task=run.task,
            run=run.number,
            outcome=outcome.value,
        )
    _send_stop(view, run, board, calls)
