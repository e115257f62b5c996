"""How long a wait for a place near the data of a task pays.

Load pattern: many jobs have their data in one rack, whose runners are busy, while
others are free or, in a burst, are wanted by other jobs as well. A task takes several
times as long on a runner in another rack. It may start there at once, or wait for a
place in its rack.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from heapq import merge
from itertools import islice

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs import Run, RunnerView
from sassafrasloft.runs.health import current_slowness

WAIT_UNCERTAINTY = 1.4
"""Factor on an expected wait: declared durations are wrong by up to 40%."""
OVERDUE_SHARE = 0.3
"""Share of its expected duration that a run is assumed to take at least from now on; a
few runs take several times as long as expected."""
_NEVER = float("inf")


class RackPlaces:
    """When the runners of a rack are expected to have capacity for further tasks.

    Only as many places are looked for as tasks ask for one: how many fit on a runner
    depends on the amounts that callers and runners state, and has no limit for tasks
    that need no processor.

    Parameters
    ----------
    views : iterable of RunnerView
        The usable runners of the rack.
    millicores : int
        Demand of a task.
    now : int
    """

    def __init__(
        self, views: Iterable[RunnerView], millicores: int, now: Milliseconds
    ) -> None:
        self._further = merge(*(_places_on(view, millicores, now) for view in views))
        self._times: deque[float] = deque()
        """The earliest places, in order, as far as they were looked for."""
        self._waiting = 0

    def next_at(self, duration_ms: float) -> float:
        """Return when the next place is free that no waiting task will take.

        Parameters
        ----------
        duration_ms : float
            How long each of the waiting tasks keeps its place.
        """
        self._find_places(self._waiting + 1)
        if not self._times:
            return _NEVER
        rounds, index = divmod(self._waiting, len(self._times))
        return self._times[index] + rounds * duration_ms

    def add_waiting_task(self) -> None:
        """Count a task that waits for one of the places."""
        self._waiting += 1

    def take_free_place(self, now: Milliseconds) -> None:
        """Remove a place that a task has taken."""
        self._find_places(1)
        if self._times and self._times[0] <= now:
            self._times.popleft()

    def _find_places(self, count: int) -> None:
        """Find the earliest places up to a number, or all if there are fewer."""
        self._times.extend(islice(self._further, max(0, count - len(self._times))))


def _places_on(view: RunnerView, millicores: int, now: Milliseconds) -> Iterator[float]:
    """Return when each further task fits on a runner, as its runs end."""
    slowness = max(1.0, current_slowness(view, now))
    ends = sorted(
        (now + _remaining_ms(run, slowness, now), run.demand.millicores)
        for run in view.runs.values()
    )
    return _times_of_places(view.free.millicores, millicores, now, ends)


def _times_of_places(
    free: int,
    millicores: int,
    now: Milliseconds,
    ends: list[tuple[float, int]],
) -> Iterator[float]:
    """Yield the times in order, without end if the tasks need no processor."""
    while free >= millicores:
        free -= millicores
        yield now
    for end, released in ends:
        free += released
        while free >= millicores:
            free -= millicores
            yield end


def _remaining_ms(run: Run, slowness: float, now: Milliseconds) -> float:
    expected = run.expected_on_runner_ms * slowness
    began_at = run.accepted_at if run.accepted_at >= 0 else run.sent_at
    return max(expected - (now - began_at), OVERDUE_SHARE * expected)


@attrs.frozen
class PlaceChoice:
    """What is known of a task that could start in another rack now.

    Parameters
    ----------
    duration_ms : float
        Expected duration in the rack of its data.
    away_factor : float
        Factor on the duration elsewhere.
    rack_free_at : float
        When the next place in the rack is expected to be free; infinite if there is
        none.
    latest_end : int
        When the job has to end.
    backlog_ms : float
        How long all runners need for the waiting work of others.
    waited_ms : int
        How long the task has waited for its rack already.
    """

    duration_ms: float
    away_factor: float
    rack_free_at: float
    latest_end: Milliseconds
    backlog_ms: float = 0.0
    waited_ms: Milliseconds = 0

    def wait_pays(
        self, now: Milliseconds, margin_ms: Milliseconds, longest_ms: Milliseconds
    ) -> bool:
        """Return whether the task should wait for its rack.

        A job that is on time elsewhere is not made late by a wait. One that is late
        elsewhere waits as long as it may be on time in its rack. One that is late in
        any case leaves the rack to others. For the rest the expected ends decide. While
        others wait, the longer run elsewhere takes room from them, which counts too.
        """
        wait_ms = (self.rack_free_at - now) * WAIT_UNCERTAINTY
        if self.waited_ms + wait_ms > longest_ms:
            return False
        away_ms = self.duration_ms * self.away_factor
        away_in_time = now + away_ms <= self.latest_end
        # A place may be free sooner than expected, so that there is a chance while a
        # start now would be in time.
        rack_in_time = now + self.duration_ms + margin_ms <= self.latest_end
        if away_in_time != rack_in_time:
            return rack_in_time
        if not rack_in_time:
            return False
        return wait_ms + self.duration_ms < away_ms + self._room_taken_ms(away_ms)

    def _room_taken_ms(self, away_ms: float) -> float:
        """Return the delay of others through a run that takes longer elsewhere.

        It is none on an idle fleet, and the additional duration while the waiting work
        lasts longer than the run.
        """
        extra_ms = away_ms - self.duration_ms
        return extra_ms * min(1.0, self.backlog_ms / away_ms) if away_ms else 0.0
