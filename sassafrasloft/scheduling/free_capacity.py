"""Index of runners by free processor capacity.

Load pattern: thousands of tasks a second are placed on hundreds of runners, so that a
search through all runners for each task would take too long.
"""

from bisect import bisect_left, insort
from collections.abc import Iterator

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs import RunnerPool, RunnerView
from sassafrasloft.scheduling.rack_wait import RackPlaces


class FreeCapacity:
    """The runners that can take work in one scheduling pass, by free capacity.

    Parameters
    ----------
    views : list of RunnerView
        In a fixed order, which breaks ties between runners with equal free capacity.
    away_factor : float
        Factor by which a task takes longer outside the rack of its data.
    """

    def __init__(self, views: list[RunnerView], away_factor: float = 1.0) -> None:
        self.away_factor = away_factor
        self.backlog_ms = 0.0
        """How long the runners need for the work that waits."""
        self.longest_rack_wait_ms: Milliseconds = 0
        """Longest wait of a task for the rack of its data; 0 for no wait."""
        self._racks: dict[str, bool] = {}
        self._rack_places: dict[tuple[str, int], RackPlaces] = {}
        self._index_of_runner: dict[str, int] = {}
        """Positions in `_views`; filled when the first runner gets a task."""
        self._views = views
        self._free = [view.free.millicores for view in views]
        """Free millicores under which each runner is sorted; its free capacity may have
        changed since then."""
        self._sorted = sorted(zip(self._free, range(len(views)), strict=True))
        self.max_free_millicores = self._sorted[-1][0] if views else 0
        """The largest number of free millicores on one runner."""

    @classmethod
    def of_service(
        cls, pool: RunnerPool, service: str, now: Milliseconds
    ) -> "FreeCapacity":
        """Return the index of a service's runners that can take work now."""
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

    def rack_places(self, rack: str, millicores: int, now: Milliseconds) -> RackPlaces:
        """Return when the runners of a rack have places for tasks of this size."""
        key = (rack, millicores)
        if key not in self._rack_places:
            views = (one for one in self._views if one.entry.is_in(rack))
            self._rack_places[key] = RackPlaces(views, millicores, now)
        return self._rack_places[key]

    def highest_free_millicores(self, count: int) -> list[int]:
        """Return the free millicores of the `count` runners with the most."""
        return [free for free, _ in self._sorted[: -count - 1 : -1]]

    def with_free_millicores(self, millicores: int) -> Iterator[RunnerView]:
        """Return the runners with at least so many free millicores, fewest first."""
        ordered = self._sorted
        for position in range(bisect_left(ordered, (millicores, 0)), len(ordered)):
            yield self._views[ordered[position][1]]

    def update_runner(self, view: RunnerView) -> None:
        """Move a runner whose free capacity has changed to its new position."""
        if not self._index_of_runner:
            self._index_of_runner = {
                one.runner_id: index for index, one in enumerate(self._views)
            }
        index = self._index_of_runner[view.runner_id]
        del self._sorted[bisect_left(self._sorted, (self._free[index], index))]
        self._free[index] = view.free.millicores
        insort(self._sorted, (self._free[index], index))
        self.max_free_millicores = self._sorted[-1][0]
