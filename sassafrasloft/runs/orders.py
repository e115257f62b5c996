"""Orders to runners and their replies."""

from enum import StrEnum

import attrs

from sassafrasloft.clock import Milliseconds


class OrderOutcome(StrEnum):
    """What a runner did with an order."""

    DONE = "done"
    FENCED = "fenced"
    """A higher fencing token has been seen; nothing was done."""
    SUPERSEDED = "superseded"
    """A run of the task with a higher or equal number was there."""
    TOO_LATE = "too_late"
    """The lease of the order had already ended."""
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    """The runner refuses work for now; nothing was done."""
    INVALID = "invalid"
    OTHER_INCARNATION = "other_incarnation"
    NOT_SENT = "not_sent"
    """No connection: the order did not reach the runner."""
    UNKNOWN = "unknown"
    """No answer: the order may have been carried out, or may be later."""


class RunEnd(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class RunnerOrder:
    """Base class: an order under a fencing token."""

    fencing_token: int


@attrs.frozen
class StartRun(RunnerOrder):
    """Starts a run of a task.

    Parameters
    ----------
    task : str
    number : int
        Rises with each start of the task.
    spec : str
    lease_end_ms : int
        On the runner's clock; applies to everything on the runner.
    """

    task: str
    number: int
    spec: str
    lease_end_ms: Milliseconds


@attrs.frozen
class StopRun(RunnerOrder):
    """Stops a run; one that arrives later is rejected by the runner."""

    task: str
    number: int


@attrs.frozen
class HoldRuns(RunnerOrder):
    """Prolongs the leases on a runner and asks for its runs and their ends.

    Parameters
    ----------
    lease_end_ms : int
        On the runner's clock; 0 to prolong nothing.
    seen_end : int
        Ends up to this number are taken note of.
    wait_ms : Milliseconds
        How long the answer may wait for an end.
    """

    lease_end_ms: Milliseconds
    seen_end: int
    wait_ms: Milliseconds


@attrs.frozen
class RunnerReply:
    """Base class.

    Parameters
    ----------
    outcome : OrderOutcome
    runner_clock_ms : int
        The runner's clock as it answered; -1 if it did not say.
    """

    outcome: OrderOutcome
    runner_clock_ms: Milliseconds = -1


@attrs.frozen
class StartReply(RunnerReply):
    """Reply to `StartRun`."""


@attrs.frozen
class StopReply(RunnerReply):
    """Reply to `StopRun`."""


@attrs.frozen
class RunningRun:
    """A run that a runner lists as present."""

    task: str
    number: int
    percent_done: float


@attrs.frozen
class EndedRun:
    """A run that has ended; `end_number` rises within a runner's incarnation."""

    end_number: int
    task: str
    number: int
    end: RunEnd


@attrs.frozen
class HoldReply(RunnerReply):
    """Reply to `HoldRuns`.

    Parameters
    ----------
    started_at_ms : int
        When the runner's process started, since 1970; -1 if it did not say.
    """

    started_at_ms: Milliseconds = -1
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
