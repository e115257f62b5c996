"""The chosen policies against their baselines on the same burst."""

import pytest

from benchmarks.overload import POLICIES, figures, play


@pytest.mark.parametrize("name", [one for one in POLICIES if one != "chosen"])
def test_more_jobs_are_in_time_than_under_the_baseline(name):
    """Guards each policy: the load is one and a half times the users' sheet."""
    chosen = figures(play(POLICIES["chosen"], 1))
    baseline = figures(play(POLICIES[name], 1))
    assert chosen["in_time"] > baseline["in_time"]


def test_an_equal_run_gives_equal_answers():
    """Guards against a dependence on the clock or on the order of sets."""
    first, second = (play(POLICIES["chosen"], 2) for _ in range(2))
    assert [one.answers for one in first] == [one.answers for one in second]
