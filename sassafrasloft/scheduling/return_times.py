"""When refused callers may return, so that there is room for them.

Load pattern: a burst, or the loss of runners, refuses hundreds of jobs within a second.
Callers that are all told the same time return together and are refused together again.
"""

from collections import defaultdict

from sassafrasloft.clock import Milliseconds

LATEST_RETURN_S = 8
"""Latest return that is given out; later ones are guesses, as bursts are shorter."""
USABLE_SHARE = 0.8
"""Share of the expected free capacity that is given out: durations are estimates."""
_SECOND_MS = 1_000


class ReturnTimes:
    """Work of refused jobs whose callers may return, by service and second."""

    def __init__(self) -> None:
        self._promised: dict[str, dict[int, float]] = defaultdict(dict)

    def promise(
        self,
        service: str,
        work: float,
        earliest_s: int,
        free_millicores: float,
        now: Milliseconds,
    ) -> int:
        """Return after how many seconds a caller may return, and keep room for it.

        Parameters
        ----------
        service : str
        work : float
            The work of its job, in millicore-milliseconds.
        earliest_s : int
            When the work that waits now will have been done.
        free_millicores : float
            Capacity that new jobs are expected to leave then.
        now : int
        """
        current = now // _SECOND_MS
        promised = self._promised[service]
        for second in [one for one in promised if one <= current]:
            del promised[second]
        room = max(0.0, free_millicores) * _SECOND_MS * USABLE_SHARE
        latest_s = max(earliest_s, LATEST_RETURN_S)
        for after_s in range(earliest_s, latest_s + 1):
            taken = promised.get(current + after_s, 0.0)
            if not taken or taken + work <= room:
                break
        promised[current + after_s] = taken + work
        return after_s
