"""Runners in the order of the room that is left on them.

Load pattern: thousands of tasks a second are placed on hundreds of runners.
"""

from bisect import bisect_left, insort
from collections.abc import Iterator

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs import RunnerPool, RunnerView


class FreeRoom:
    """The runners that may get work in one pass, by free processor room.

    Parameters
    ----------
    views : list of RunnerView
        In a fixed order, which decides between runners with equal room.
    away_factor : float
        How many times as long a task takes away from the rack of its data.
    """

    def __init__(self, views: list[RunnerView], away_factor: float = 1.0) -> None:
        self.away_factor = away_factor
        self._racks: dict[str, bool] = {}
        self._views = views
        self._free = [view.free.millicores for view in views]
        """As sorted; a runner's room may have changed since."""
        self._sorted = sorted(zip(self._free, range(len(views)), strict=True))
        self.largest = self._sorted[-1][0] if views else 0
        """The most millicores that are free on one runner."""

    @classmethod
    def of_service(
        cls, pool: RunnerPool, service: str, now: Milliseconds
    ) -> "FreeRoom":
        """Return the runners of a service that may get work now."""
        usable = pool.usable
        return cls(
            [
                view
                for view in pool.runners.values()
                if usable(view, now) and view.entry.service == service
            ],
            pool.away_factor,
        )

    def __len__(self) -> int:
        """Return the number of runners."""
        return len(self._views)

    def __iter__(self) -> Iterator[RunnerView]:
        """Return the runners in their fixed order."""
        return iter(self._views)

    def has_rack(self, rack: str) -> bool:
        """Return whether one of the runners is in a rack."""
        if rack not in self._racks:
            self._racks[rack] = any(view.entry.is_in(rack) for view in self._views)
        return self._racks[rack]

    def most_free(self, count: int) -> list[int]:
        """Return the free millicores of the emptiest runners."""
        return [free for free, _ in self._sorted[: -count - 1 : -1]]

    def at_least(self, millicores: int) -> Iterator[RunnerView]:
        """Return the runners with so much room, the fullest first."""
        ordered = self._sorted
        for position in range(bisect_left(ordered, (millicores, 0)), len(ordered)):
            yield self._views[ordered[position][1]]

    def note_change(self, view: RunnerView) -> None:
        """Sort a runner anew whose room has changed."""
        number = self._views.index(view)
        del self._sorted[bisect_left(self._sorted, (self._free[number], number))]
        self._free[number] = view.free.millicores
        insort(self._sorted, (self._free[number], number))
        self.largest = self._sorted[-1][0]
