"""Faults on the calls from the instances of a test fleet to its runners."""

from enum import StrEnum
from random import Random

import attrs

from sassafrasloft.runs import CommandOutcome, RunnerCommand, StopRun


class StartFault(StrEnum):
    """How a command to start a run fails; the run never begins."""

    REFUSED = "refused"
    """The runner replies that it is unhealthy."""
    RESET = "reset"
    """The connection is reset at once."""
    HUNG = "hung"
    """No reply arrives."""


@attrs.define(eq=False)
class RunnerFaults:
    """Faults by runner.

    Polls succeed unless they are rejected or their replies are lost.

    Parameters
    ----------
    starts : dict
        How start commands fail, by runner.
    affected_zone : str
        The availability zone whose start commands fail; all zones if empty.
    lost_reply_shares : dict
        Share of commands that are carried out without a reply, by runner; 1.0 stands
        for a link that is cut in one direction.
    rejected_shares : dict
        Share of commands of all kinds that the runner rejects as unhealthy, by runner.
    stops : dict
        How stop commands fail without effect, by runner: with which outcome.
    """

    starts: dict[str, StartFault] = attrs.field(factory=dict)
    affected_zone: str = ""
    lost_reply_shares: dict[str, float] = attrs.field(factory=dict)
    rejected_shares: dict[str, float] = attrs.field(factory=dict)
    stops: dict[str, CommandOutcome] = attrs.field(factory=dict)
    affected_starts: dict[str, int] = attrs.field(factory=dict)
    """Number of start commands that have failed, by runner."""

    def apply_to_start(self, runner_id: str, zone: str) -> StartFault | None:
        """Return the fault of a start command from a zone, if any, and count it."""
        fault = self.starts.get(runner_id)
        if fault is None or self.affected_zone not in ("", zone):
            return None
        self.affected_starts[runner_id] = self.affected_starts.get(runner_id, 0) + 1
        return fault

    def loses_reply(self, runner_id: str, random: Random) -> bool:
        """Draw whether the reply to a command is lost."""
        return _draw(self.lost_reply_shares, runner_id, random)

    def rejection(
        self, runner_id: str, command: RunnerCommand, random: Random
    ) -> CommandOutcome | None:
        """Draw whether a command has no effect; return its outcome if so."""
        if isinstance(command, StopRun) and runner_id in self.stops:
            return self.stops[runner_id]
        if _draw(self.rejected_shares, runner_id, random):
            return CommandOutcome.UNHEALTHY
        return None


def _draw(shares: dict[str, float], runner_id: str, random: Random) -> bool:
    share = shares.get(runner_id, 0.0)
    return share > 0.0 and random.random() < share
