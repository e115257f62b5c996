"""Ejection of faulty runners, probes, and return to service."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    PeerMessageReceived,
    Probe,
    TimerFired,
    register_controller,
)
from sassafrasloft.jobs import TaskKey
from sassafrasloft.messages import Gossip
from sassafrasloft.state import Health, RunnerState
from sassafrasloft.upstreams.gossip import gossip_of

TIMER = "upstreams.probe"
FAILURE_SHARE_WEIGHT = 0.1
"""Weight of one ended task in the moving average of the failure share."""
MAX_FAILURE_SHARE = 0.5
MIN_ENDED_FOR_SHARE = 20
COMPARISON_WINDOW_MS: Milliseconds = 10_000
"""A failing runner is compared with the runners that ended a task within this time."""
INITIAL_UNREACHABLE_PROBE_MS: Milliseconds = 1_000
EJECTIONS_RESET_TASKS = 50
"""Number of ended tasks in service after which the count of ejections is reset."""
MIN_FAILURES = 2
MAX_FAILURE_SHARE_ELSEWHERE = 0.02
MIN_ENDED_ELSEWHERE = 20
"""The failure threshold is lowered by one, to at least `MIN_FAILURES`, while the
mean failure share of the other runners is below `MAX_FAILURE_SHARE_ELSEWHERE` and
they have ended at least this number of tasks. The reason is that each of eight
instances has to observe the failures of a worker for itself."""
MIN_PEERS_WITHOUT_OWN_FAILURE = 3
"""Number of peers that must have ejected a runner before this instance ejects it
without a failure of its own tasks."""


def record_reachable(board: Blackboard, state: RunnerState) -> None:
    """Return a runner to service if it was out of service only as unreachable."""
    if state.health is Health.UNREACHABLE:
        state.health = Health.HEALTHY
        board.upstreams.probe_due.pop(state.settings.name, None)


def record_unreachable(board: Blackboard, state: RunnerState, reason: str) -> None:
    """Take a healthy runner out of service while no connection can be opened.

    A probe is scheduled that returns the runner to service.
    """
    if state.health is not Health.HEALTHY:
        return
    state.health = Health.UNREACHABLE
    state.reason = reason
    board.metrics.add("runners_unreachable")
    board.log("WARNING", "runner_unreachable", runner=state.settings.name, by=reason)
    due_ms = board.now + INITIAL_UNREACHABLE_PROBE_MS
    board.upstreams.probe_due[state.settings.name] = due_ms


def record_task_success(board: Blackboard, state: RunnerState) -> None:
    """Update the failure statistics of a runner after a successful task."""
    state.consecutive_failures = 0
    state.last_failed_job = ""
    state.on_probation = False
    state.failure_share -= FAILURE_SHARE_WEIGHT * state.failure_share
    state.ended_tasks += 1
    state.last_ended_ms = board.now
    if state.ejections and state.ended_tasks >= EJECTIONS_RESET_TASKS:
        state.ejections = 0


def record_task_failure(board: Blackboard, state: RunnerState, key: TaskKey) -> None:
    """Update the failure statistics of a runner after a failed task.

    Consecutive failures of the same job count once, because some jobs fail on
    every runner.
    """
    state.last_ended_ms = board.now
    if key.submission_id == state.last_failed_job:
        return
    state.last_failed_job = key.submission_id
    state.consecutive_failures += 1
    state.failure_share += FAILURE_SHARE_WEIGHT * (1.0 - state.failure_share)
    state.ended_tasks += 1
    eject_if_faulty(board, state)


def eject_if_faulty(board: Blackboard, state: RunnerState) -> None:
    """Eject a healthy runner if its failures exceed the limits.

    The ejection is withheld if too many runners are ejected already, or if the
    other runners fail too.
    """
    if state.health is not Health.HEALTHY or not _is_suspect(board, state):
        return
    if not _is_ejection_allowed(board):
        board.metrics.add("ejections_withheld_share")
        return
    if _do_others_fail_too(board, state):
        board.metrics.add("ejections_withheld_alike")
        return
    limits = board.settings.service.upstreams
    delay_ms = min(limits.eject_ms * 2 ** min(state.ejections, 16), limits.max_eject_ms)
    state.health = Health.EJECTED
    state.ejections += 1
    state.ejected_until_ms = board.now + delay_ms
    state.reason = "fails_tasks"
    board.upstreams.probe_due[state.settings.name] = state.ejected_until_ms
    board.metrics.add("runners_ejected")
    board.log("WARNING", "runner_ejected", runner=state.settings.name, ms=delay_ms)


def _is_suspect(board: Blackboard, state: RunnerState) -> bool:
    threshold = board.settings.service.upstreams.eject_after_failures
    if threshold > MIN_FAILURES and _others_succeed(board, state):
        threshold -= 1
    own, peers = state.consecutive_failures, state.peers_ejecting
    if own + peers >= threshold and (own or peers >= MIN_PEERS_WITHOUT_OWN_FAILURE):
        return True
    enough = state.ended_tasks >= MIN_ENDED_FOR_SHARE
    return enough and state.failure_share > MAX_FAILURE_SHARE


def _others_succeed(board: Blackboard, suspect: RunnerState) -> bool:
    """Return whether the failure share of the other healthy runners is very low."""
    others = [
        state
        for state in board.upstreams.runners.values()
        if state is not suspect and state.health is Health.HEALTHY
    ]
    if sum(state.ended_tasks for state in others) < MIN_ENDED_ELSEWHERE:
        return False
    share = sum(state.failure_share for state in others)
    return share < MAX_FAILURE_SHARE_ELSEWHERE * len(others)


def _is_ejection_allowed(board: Blackboard) -> bool:
    runners = board.upstreams.runners.values()
    ejected = sum(1 for state in runners if state.health is Health.EJECTED)
    share = board.settings.service.upstreams.max_ejected_share
    return ejected + 1 <= share * len(runners)


def _do_others_fail_too(board: Blackboard, suspect: RunnerState) -> bool:
    """Return whether so many other runners fail that the tasks are the likely cause."""
    since_ms = board.now - COMPARISON_WINDOW_MS
    others = [
        state
        for state in board.upstreams.runners.values()
        if state is not suspect
        and state.health is Health.HEALTHY
        and state.ended_tasks
        and state.last_ended_ms >= since_ms
    ]
    failing = sum(1 for state in others if state.consecutive_failures)
    share = board.settings.service.upstreams.max_ejected_share
    return failing > share * len(others)


def handle_probe_result(board: Blackboard, state: RunnerState, healthy: bool) -> None:
    """Return a runner to service after a successful probe, or schedule another."""
    state.probing = False
    table = board.upstreams
    name = state.settings.name
    if not healthy:
        if state.health is Health.HEALTHY:
            record_unreachable(board, state, "probe")
            return
        state.failed_probes += 1
        table.probe_due[name] = board.now + _next_probe_ms(board, state)
        return
    table.probe_due.pop(name, None)
    state.failed_probes = 0
    if state.health is Health.EJECTED:
        _start_probation(board, state)
    state.health = Health.HEALTHY


def _next_probe_ms(board: Blackboard, state: RunnerState) -> Milliseconds:
    limits = board.settings.service.upstreams
    growth = 2 ** min(state.failed_probes, 16)
    if state.health is Health.EJECTED:
        return min(limits.eject_ms * growth, limits.max_eject_ms)
    return min(INITIAL_UNREACHABLE_PROBE_MS * growth, limits.eject_ms)


def _start_probation(board: Blackboard, state: RunnerState) -> None:
    """Put a runner on probation: its next failure ejects it for a longer time."""
    threshold = board.settings.service.upstreams.eject_after_failures
    state.consecutive_failures = max(0, threshold - 1)
    state.failure_share = 0.0
    state.ended_tasks = 0
    state.last_failed_job = ""
    state.on_probation = True
    board.log("INFO", "runner_on_trial", runner=state.settings.name)


def update_peer_ejections(board: Blackboard, old: Gossip | None, new: Gossip) -> None:
    """Recount the peers that have ejected each runner named in a peer's gossip.

    Runners that only the previous gossip named are recounted too.
    """
    names = {notice.runner: None for notice in new.runners_ejected}
    if old is not None:
        names |= {notice.runner: None for notice in old.runners_ejected}
    for name in names:
        state = board.upstreams.runners.get(name)
        if state is None:
            continue
        state.peers_ejecting = sum(
            1
            for gossip in board.upstreams.peers_gossip.values()
            for notice in gossip.runners_ejected
            if notice.runner == name and notice.runner_incarnation == state.incarnation
        )
        if state.incarnation:
            eject_if_faulty(board, state)


@register_controller("upstreams.faults", 44)
class FaultsController(Controller):
    """Probes runners that are out of service and counts the ejections by peers."""

    handles = (TimerFired, PeerMessageReceived)

    def __init__(self) -> None:
        self._last_gossip: dict[str, Gossip] = {}

    def react(self, event: Event, board: Blackboard) -> None:
        """Send the probes that are due, or apply the ejections that a peer reports."""
        if isinstance(event, TimerFired):
            if event.name == TIMER:
                board.upstreams.probe_timer_ms = -1
                self._probe_due(board)
        elif isinstance(event, PeerMessageReceived):
            gossip = gossip_of(event, board)
            if gossip is not None:
                old = self._last_gossip.get(event.peer)
                self._last_gossip[event.peer] = gossip
                update_peer_ejections(board, old, gossip)

    def settle(self, board: Blackboard) -> None:
        """Set the timer to the earliest probe that is due."""
        table = board.upstreams
        if not table.probe_due:
            return
        due_ms = min(table.probe_due.values())
        if table.probe_timer_ms < 0 or due_ms < table.probe_timer_ms:
            table.probe_timer_ms = due_ms
            board.set_timer(TIMER, due_ms - board.now)

    def _probe_due(self, board: Blackboard) -> None:
        table = board.upstreams
        due = [name for name, at in table.probe_due.items() if at <= board.now]
        wait_ms = 2 * board.settings.service.upstreams.settle_timeout_ms
        for name in due:
            # The probe is repeated if the I/O layer never reports its result; the
            # report itself schedules the next probe.
            table.probe_due[name] = board.now + wait_ms
            state = table.runners.get(name)
            if state is None:
                del table.probe_due[name]
                continue
            state.probing = True
            board.metrics.add("messages_probe", 2)
            board.emit(Probe(name))
