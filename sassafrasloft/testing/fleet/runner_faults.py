"""What goes wrong between the instances of a test fleet and its runners."""

from enum import StrEnum
from random import Random

import attrs


class StartFault(StrEnum):
    """What becomes of an order to start a run; in no case does the run begin."""

    REFUSED = "refused"
    """The runner answers that it is unhealthy."""
    RESET = "reset"
    """The connection is reset at once."""
    HUNG = "hung"
    """No answer comes."""


@attrs.define(eq=False)
class RunnerFaults:
    """Faults by runner; holds and stops are answered unless answers are lost.

    Parameters
    ----------
    starts : dict
        What becomes of starts, by runner.
    only_from : str
        The availability zone whose starts meet these faults; empty for all.
    lost_answers : dict
        Share of orders that are carried out and not answered, by runner; 1.0 is a
        link that is cut in one direction.
    """

    starts: dict[str, StartFault] = attrs.field(factory=dict)
    only_from: str = ""
    lost_answers: dict[str, float] = attrs.field(factory=dict)
    met: dict[str, int] = attrs.field(factory=dict)
    """How many starts have met a fault, by runner."""

    def meet_start(self, runner_id: str, zone: str) -> StartFault | None:
        """Return what becomes of a start that an instance of a zone orders."""
        fault = self.starts.get(runner_id)
        if fault is None or self.only_from not in ("", zone):
            return None
        self.met[runner_id] = self.met.get(runner_id, 0) + 1
        return fault

    def loses_answer(self, runner_id: str, random: Random) -> bool:
        """Return whether the answer to an order is lost."""
        share = self.lost_answers.get(runner_id, 0.0)
        return share > 0.0 and random.random() < share
