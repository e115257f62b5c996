"""How long a wait for a place near the data of a task pays."""

import pytest

from sassafrasloft.runs import Run, RunnerEntry, RunnerView, RunState
from sassafrasloft.scheduling.rack_wait import (
    OVERDUE_SHARE,
    PlaceChoice,
    RackPlaces,
)
from sassafrasloft.workload import Resources

NOW = 10_000
ROOM = Resources(32_000, 64_000, 0)
DEMAND = Resources(14_000, 64, 0)
MARGIN_MS = 12
LONGEST_MS = 1_000
NEVER = float("inf")


def view_with_runs(*elapsed_ms, expected_ms=100.0, room=ROOM):
    """Return a runner with two places, some of which have been taken for a time."""
    entry = RunnerEntry("r-1", "desk", "", "north", False, room, ("rack-0",))
    view = RunnerView(entry, room)
    for number, elapsed in enumerate(elapsed_ms):
        began_at = NOW - elapsed
        view.add(
            Run(
                f"task-{number}",
                1,
                "r-1",
                DEMAND,
                expected_ms,
                RunState.RUNNING,
                began_at,
                accepted_at=began_at,
            )
        )
    return view


class CountedDemand(int):
    """A demand that may be compared with free capacity a limited number of times."""

    def __new__(cls, millicores, limit):
        self = super().__new__(cls, millicores)
        self.left = limit
        return self

    def __le__(self, free):
        """Return whether it fits into the free capacity, and count that."""
        self.left -= 1
        assert self.left >= 0, "the work of a decision grows with an amount"
        return int(self) <= free


def next_places(*views, count, millicores=DEMAND.millicores):
    places, found = RackPlaces(views, millicores, NOW), []
    for _ in range(count):
        found.append(places.next_at(60.0) - NOW)
        places.add_waiting_task()
    return found


def choice(rack_free_in_ms, slack_ms, duration_ms=60.0, **changes):
    return PlaceChoice(
        duration_ms, 3.0, NOW + rack_free_in_ms, NOW + slack_ms, **changes
    )


def pays(one):
    return one.wait_pays(NOW, MARGIN_MS, LONGEST_MS)


def test_places_become_free_as_runs_end_and_go_to_those_who_wait():
    """Guards against a queue for a rack in which each task expects the first place."""
    views = view_with_runs(80, 30), view_with_runs(50)
    assert next_places(*views, count=6) == [0, 30, 50, 70, 60, 90]


def test_a_rack_without_runners_has_no_place():
    """Guards against waits for runners that are gone."""
    assert next_places(count=1) == [NEVER]
    assert not pays(choice(NEVER, slack_ms=150))


def test_run_that_takes_longer_than_expected_does_not_end_at_once():
    """Guards against waits for places that tasks with a heavy tail keep."""
    (place,) = next_places(view_with_runs(400, 400), count=1)
    assert place == OVERDUE_SHARE * 100


@pytest.mark.parametrize(
    ("free_in_ms", "slack_ms", "expected"),
    [
        pytest.param(30, 150, True, id="late elsewhere, in time in the rack"),
        pytest.param(500, 180, False, id="in time elsewhere, late in the rack"),
        pytest.param(30, 1_000, True, id="in time in both, sooner in the rack"),
        pytest.param(110, 1_000, False, id="in time in both, later in the rack"),
    ],
)
def test_expected_ends_decide_unless_one_is_too_late(free_in_ms, slack_ms, expected):
    """Guards against waits that make a job late, and runs elsewhere that do."""
    assert pays(choice(free_in_ms, slack_ms)) is expected


@pytest.mark.parametrize("free_in_ms", [0, 30, 110])
def test_job_that_is_late_in_any_case_leaves_the_rack_to_others(free_in_ms):
    """Guards against late jobs that hold up all that come after them."""
    assert not pays(choice(free_in_ms, 20))


def test_expected_wait_allows_for_wrong_estimates():
    """Guards against waits that pay only if all estimates hold."""
    assert pays(choice(80, 1_000))
    assert not pays(choice(90, 1_000))


def test_run_elsewhere_costs_nothing_while_nobody_waits():
    """Guards against waits on an idle fleet, and against ones that others pay for."""
    assert not pays(choice(110, 1_000))
    assert pays(choice(110, 1_000, backlog_ms=180.0))


def test_wait_ends_after_the_longest_time():
    """Guards against tasks that wait for ever as each estimate promises a place."""
    assert pays(choice(30, 1_000, waited_ms=950))
    assert not pays(choice(30, 1_000, waited_ms=970))


@pytest.mark.parametrize(
    ("millicores", "room"),
    [
        pytest.param(0, 32_000, id="a task that needs no processor"),
        pytest.param(1, 32_000, id="a task that needs very little"),
        pytest.param(14_000, 2**62, id="a runner that states a huge capacity"),
    ],
)
def test_work_of_a_decision_is_bounded_by_counts(millicores, room):
    """Guards against schedulers that hang since the number of places has no limit."""
    runners, tasks = 8, 20
    resources = Resources(room, 64_000, 0)
    views = [view_with_runs(80, 30, room=resources) for _ in range(runners)]
    demand = CountedDemand(millicores, limit=10 * (runners + tasks))
    assert next_places(*views, count=tasks, millicores=demand) == [0] * tasks


@pytest.mark.parametrize("free_places", [0, 1, 3])
def test_taken_places_are_not_given_out_again(free_places):
    """Guards against tasks that wait for a place which has just been taken."""
    views = view_with_runs(80), view_with_runs(50), view_with_runs(20)
    places = RackPlaces(views, DEMAND.millicores, NOW)
    for _ in range(free_places):
        places.take_free_place(NOW)
    left = [0] * (3 - free_places)
    found = []
    for _ in range(len(left) + 1):
        found.append(places.next_at(60.0) - NOW)
        places.add_waiting_task()
    assert found == [*left, OVERDUE_SHARE * 100]
