"""The results of `benchmarks.slopes` as they are written to a file."""

from pathlib import Path

import attrs

from benchmarks.hot_spots import HotSpot
from benchmarks.slope_fits import Slope

RESULTS = Path(__file__).parent / "results" / "slopes.json"
COMMAND = "python -m benchmarks.slopes"


@attrs.frozen
class Machine:
    """Where the figures were measured.

    Parameters
    ----------
    load_before, load_after : float
        Mean number of runnable processes over one minute.
    loop_before_ms, loop_after_ms : float
        Processor time of `reference_ms`, by which runs can be compared.
    """

    cores: int
    memory_gb: float
    processor: str
    python: str
    load_before: float
    load_after: float
    loop_before_ms: float
    loop_after_ms: float


@attrs.frozen
class Results:
    """All that one run measured, and the revision that it was run at."""

    command: str
    revision: str
    seconds: float
    machine: Machine
    resident_mb: float
    slopes: list[Slope]
    hot_spots: list[HotSpot]
