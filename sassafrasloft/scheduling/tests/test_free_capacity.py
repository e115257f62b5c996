"""Tests of the index of runners by free capacity."""

from random import Random

from sassafrasloft.runs import RunnerEntry, RunnerView
from sassafrasloft.scheduling.free_capacity import FreeCapacity
from sassafrasloft.workload import Resources


class UnsearchableList(list):
    """A list that must not be searched for an item."""

    def index(self, *arguments):
        raise AssertionError("all runners are searched for one of them")


def views_of(*free):
    return UnsearchableList(
        RunnerView(
            RunnerEntry(f"r-{number}", "desk", "", "north", False, Resources(9, 9, 0)),
            Resources(millicores, 9, 0),
        )
        for number, millicores in enumerate(free)
    )


def test_order_follows_changes_of_free_capacity():
    """Guards against a search through thousands of runners for each placed task."""
    random = Random(1)
    views = views_of(*(random.randrange(50) for _ in range(40)))
    capacity = FreeCapacity(views)
    for _ in range(200):
        view = random.choice(views)
        view.free = Resources(random.randrange(50), 9, 0)
        capacity.update_runner(view)
        found = [one.free.millicores for one in capacity.with_free_millicores(20)]
        assert found == sorted(
            one.free.millicores for one in views if one.free.millicores >= 20
        )
        assert capacity.max_free_millicores == max(one.free.millicores for one in views)
