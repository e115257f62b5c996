"""The status report of an instance for operators."""

from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    Reply,
    Status,
    StatusRequested,
    register_controller,
)
from sassafrasloft.membership.peers import peer_is_recently_heard


def _peer_values(board: Blackboard) -> dict[str, object]:
    return {
        name: {
            "up": peer.up,
            "fresh": peer_is_recently_heard(board, peer),
            "incarnation": peer.incarnation,
            "leaving": peer.leaving,
            "settings_revision": peer.gossip.settings_revision if peer.gossip else -1,
            "heard_ms_ago": board.now - peer.last_heard_at
            if peer.last_heard_at >= 0
            else -1,
        }
        for name, peer in board.peers.peers.items()
    }


def _runner_values(board: Blackboard) -> dict[str, object]:
    return {
        name: {
            "health": runner.health.value,
            "reason": runner.reason,
            "leaving": runner.leaving,
            "incarnation": runner.incarnation,
            "in_flight": len(runner.in_flight),
            "free_slots": runner.free_slots,
        }
        for name, runner in board.upstreams.runners.items()
    }


def _team_values(board: Blackboard) -> dict[str, object]:
    return {
        name: {
            "waiting": use.waiting,
            "running": use.running,
            "running_elsewhere": use.running_elsewhere,
        }
        for name, use in board.queue.teams.items()
    }


def _platform_values(board: Blackboard) -> dict[str, object]:
    state = board.platform
    age = board.now - state.listed_ms if state.listed_ms >= 0 else -1
    return {
        "available": state.available,
        "lease_held": bool(state.lease_id),
        "list_read_ms_ago": age,
        "open_calls": len(state.open_calls),
        "retry_delay_ms": state.retry_delay_ms,
    }


def status_values(board: Blackboard) -> dict[str, object]:
    """Return the state of the instance as JSON-compatible values."""
    violations = board.auditor.violations
    return {
        "instance": board.identity.instance,
        "zone": board.identity.zone,
        "incarnation": board.identity.incarnation,
        "settings_revision": board.settings.revision,
        "leaving": board.peers.leaving,
        "peers": _peer_values(board),
        "heirs": len(board.peers.heirs),
        "upstreams": _runner_values(board),
        "queue": {
            "waiting_tasks": board.queue.waiting_tasks,
            "waiting_jobs": len(board.queue.jobs),
            "teams": _team_values(board),
        },
        "jobs": {
            "running": len(board.jobs.running),
            "answers_kept": len(board.jobs.answers),
            "requests_waiting": sum(map(len, board.jobs.waiters.values())),
        },
        "platform": _platform_values(board),
        "invariants_violated": {
            invariant.value: count for invariant, count in violations.items() if count
        },
    }


@register_controller("membership.status", 29)
class StatusController(Controller):
    """Answers status requests from operators."""

    handles = (StatusRequested,)

    def react(self, event: Event, board: Blackboard) -> None:
        """Reply with the present state of the instance."""
        assert isinstance(event, StatusRequested)
        board.emit(Reply(event.request_id, Status(status_values(board))))
