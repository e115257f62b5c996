"""Scenarios of overlapping faults; `fault_hunt` runs more seeds by hand."""

import pytest

from sassafrasloft.testing.fleet import scenario_faults  # noqa: F401
from sassafrasloft.testing.fleet.fault_scenarios import FaultScenario

SEEDS = (5, 91, 141, 166, 235, 2_000, 5_037)
"""Five of these seeds led to two simultaneous runs of one task."""


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_has_two_runs_during_overlapping_faults(seed):
    """Guards against simultaneous schedulers that start the same task."""
    FaultScenario(seed, detected_disconnect_share=1.0).run()


@pytest.mark.parametrize("seed", [90_000, 90_001, 90_117])
def test_no_task_has_two_runs_while_runners_reject_commands(seed):
    """Guards against runs that a scheduler cannot stop or cannot see.

    Runners reject some of their commands while a zone is cut off.
    """
    FaultScenario(seed, ("zone_cut", "runners_reject"), 1.0).run()
