"""Commands that a scheduler sends to runners, and the replies."""

from enum import StrEnum

import attrs

from sassafrasloft.clock import Milliseconds


class CommandOutcome(StrEnum):
    """What a runner did with a command."""

    DONE = "done"
    FENCED = "fenced"
    """Rejected without effect: the runner has seen a higher fencing token."""
    SUPERSEDED = "superseded"
    """Rejected: the runner has a run of the task with an equal or higher number."""
    TOO_LATE = "too_late"
    """Rejected: the lease granted by the command had already expired."""
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    """Rejected without effect: the runner currently refuses work."""
    INVALID = "invalid"
    OTHER_INCARNATION = "other_incarnation"
    NOT_SENT = "not_sent"
    """No connection: the command did not reach the runner."""
    UNKNOWN = "unknown"
    """No reply: the command may have been executed or may still be executed."""


TOKEN_ACCEPTED_OUTCOMES = frozenset(
    {
        CommandOutcome.DONE,
        CommandOutcome.SUPERSEDED,
        CommandOutcome.TOO_LATE,
        CommandOutcome.NO_ROOM,
    }
)
"""Outcomes that show that the runner has seen no higher fencing token. A runner that
rejects a command as unhealthy has not looked at the token."""


class RunEnd(StrEnum):
    """How a run ended, as its runner reports it or its scheduler concludes."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class RunnerCommand:
    """Base class of commands; the runner rejects one with an outdated token."""

    fencing_token: int


@attrs.frozen
class StartRun(RunnerCommand):
    """Starts a run of a task.

    Parameters
    ----------
    task : str
    number : int
        Number of the run, which increases with each start of the task.
    spec : str
    lease_end_ms : int
        Expiry on the runner's clock of the leases of all runs on the runner.
    """

    task: str
    number: int
    spec: str
    lease_end_ms: Milliseconds


@attrs.frozen
class StopRun(RunnerCommand):
    """Stops a run; a start of this run that arrives later is rejected."""

    task: str
    number: int


@attrs.frozen
class PollRuns(RunnerCommand):
    """Renews the leases on a runner and asks for its running and ended runs.

    Parameters
    ----------
    lease_end_ms : int
        New expiry of the leases on the runner's clock; 0 to renew none.
    seen_end : int
        Highest `end_number` received; the runner may discard ends up to it.
    wait_ms : Milliseconds
        How long the runner may delay its reply until a run ends (long poll).
    """

    lease_end_ms: Milliseconds
    seen_end: int
    wait_ms: Milliseconds


@attrs.frozen
class RunnerReply:
    """Base class of the replies.

    Parameters
    ----------
    outcome : CommandOutcome
    runner_clock_ms : int
        The runner's clock when it replied; -1 if not reported.
    """

    outcome: CommandOutcome
    runner_clock_ms: Milliseconds = -1


@attrs.frozen
class StartReply(RunnerReply):
    """Reply to `StartRun`."""


@attrs.frozen
class StopReply(RunnerReply):
    """Reply to `StopRun`."""


@attrs.frozen
class RunningRun:
    """A run that a runner reports as running."""

    task: str
    number: int
    percent_done: float


@attrs.frozen
class EndedRun:
    """A run that has ended; `end_number` increases within a runner's incarnation."""

    end_number: int
    task: str
    number: int
    end: RunEnd


@attrs.frozen
class PollReply(RunnerReply):
    """Reply to `PollRuns`.

    Parameters
    ----------
    started_at_ms : int
        Start of the runner's process in Unix time; -1 if not reported.
    """

    started_at_ms: Milliseconds = -1
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
