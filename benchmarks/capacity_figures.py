"""The figures of docs/CAPACITY.md at the size of section 1.5 of the design."""

import json
import math
from collections.abc import Mapping
from functools import cached_property
from pathlib import Path

import attrs
from cattrs import structure

from benchmarks.hot_spots import HotSpot
from benchmarks.slope_fits import Slope
from benchmarks.slope_results import Machine, Results
from benchmarks.spread import Spread

RUNNERS = 2_600
TEAMS = 230
STARTS_PER_SECOND = 200_000
CHANGES_PER_SECOND = 11_000 / 86_400
RESTARTS_PER_DAY = 480
CRASHES_PER_DAY = 20
JOB_TASKS = 40
JOBS_IN_FLIGHT = 1_000
KEPT_ANSWERS = 2_000
TASK_TARGET_MS = 0.25
MEMORY_LIMIT_MB = 64
CONTROL_BYTES = 3_000
CONTROL_SHARE = 0.035
PLATFORM_READS = 2_000
PLATFORM_WRITES = 300
"""The lower end of "several hundred writes a second"."""

USED_SHARE = 0.7
"""Part of a core at which an instance counts as full; the target for response
over ideal is given up to this load."""

LIST_READS_PER_SECOND = 0.5
FANOUT = 8
GOSSIP_ROUNDS_PER_SECOND = 2
MAX_CANDIDATES = 64
SLOTS = 8


@attrs.frozen
class Costs:
    """What a task costs an instance by three readings, in milliseconds."""

    target: float
    core: float
    process: float


class Figures:
    """Reads the slopes and combines them.

    Parameters
    ----------
    results : Results
        What `benchmarks.slopes` measured.
    spreads : list of Spread
        What `benchmarks.spread` computed.
    """

    def __init__(self, results: Results, spreads: list[Spread]) -> None:
        self._results = results
        self._spreads = spreads
        self._slopes = {slope.name: slope for slope in results.slopes}

    @property
    def slopes(self) -> Mapping[str, Slope]:
        """The slopes by name."""
        return self._slopes

    @property
    def machine(self) -> Machine:
        """Where they were measured."""
        return self._results.machine

    @property
    def imports_mb(self) -> float:
        """The resident size of a process that only imported the entry instance."""
        return self._results.resident_mb

    @property
    def revision(self) -> str:
        """The revision that was measured."""
        return self._results.revision

    @property
    def seconds(self) -> float:
        """How long measuring took."""
        return self._results.seconds

    @property
    def hot_spots(self) -> list[HotSpot]:
        """The functions with the most own time."""
        return self._results.hot_spots

    @property
    def spreads(self) -> list[Spread]:
        """The ways in which news spreads."""
        return self._spreads

    def at(self, name: str, size: float) -> float:
        """Return the value of a slope at a size, measured or by its line."""
        return self._slopes[name].at(size)

    @cached_property
    def costs(self) -> Costs:
        """Processor time a task: the target, the core, the whole process."""
        return Costs(
            TASK_TARGET_MS,
            self.at("job_ms_by_runners", RUNNERS) / JOB_TASKS,
            self.at("live_job_ms_by_tasks", JOB_TASKS) / JOB_TASKS,
        )

    def instances(self, task_ms: float, starts: float = STARTS_PER_SECOND) -> int:
        """Return how many instances carry so many starts a second."""
        return math.ceil(starts * task_ms / 1_000 / USED_SHARE)

    @cached_property
    def planned(self) -> int:
        """Instances at the target's cost of a task."""
        return self.instances(self.costs.target)

    @cached_property
    def today(self) -> int:
        """Instances at the measured cost of a task."""
        return self.instances(self.costs.process)

    @cached_property
    def gossip_cpu(self) -> float:
        """Share of a core for gossip sent and received."""
        received = FANOUT * GOSSIP_ROUNDS_PER_SECOND
        sending = self.at("gossip_ms_by_runners", RUNNERS)
        taking = received * self.at("receive_ms_by_runners", RUNNERS)
        return (sending + taking) / 1_000

    @cached_property
    def settings_cpu(self) -> float:
        """Share of a core for checking and adopting changed settings."""
        adopting = self.at("settings_adopt_ms_by_runners", RUNNERS)
        return CHANGES_PER_SECOND * adopting / 1_000

    @cached_property
    def idle_cpu(self) -> float:
        """Share of a core of a whole process without work at 12 runners."""
        return self._slopes["live_idle_ms"].points[0].value / 1_000

    @cached_property
    def list_bytes(self) -> float:
        """Bytes a second of the platform's list."""
        entries = RUNNERS + self.planned
        each = self.at("list_bytes_by_entries", entries)
        return LIST_READS_PER_SECOND * each

    @cached_property
    def largest_list(self) -> int:
        """Entries of the list at which it alone takes all control bytes."""
        line = self._slopes["list_bytes_by_entries"].line
        allowed = CONTROL_BYTES / LIST_READS_PER_SECOND
        return int((allowed - line.base) / line.per_size)

    def document_rate(self, form: str) -> float:
        """Return the bytes a second of settings documents of one form."""
        size = self.at(f"settings_bytes_by_runners_{form}", RUNNERS)
        return CHANGES_PER_SECOND * size

    @cached_property
    def teams_share(self) -> float:
        """Part of a document with groups of runners that its teams take."""
        each = self._slopes["settings_bytes_by_teams"].line.per_size
        return each * TEAMS / self.at("settings_bytes_by_runners_grouped", RUNNERS)

    @cached_property
    def largest_document(self) -> int:
        """Bytes of a document at which changes alone take all control bytes."""
        return int(CONTROL_BYTES / CHANGES_PER_SECOND)

    @cached_property
    def memory_without_jobs(self) -> float:
        """Megabytes of a process with all tables and kept answers."""
        tables = (
            self.at("memory_mb_by_runners", RUNNERS)
            + self._slopes["memory_mb_by_teams"].line.per_size * TEAMS
            + self._slopes["memory_mb_by_peers"].line.per_size * self.planned
        )
        answers = self.at("memory_mb_by_answers", KEPT_ANSWERS)
        return self._slopes["live_resident_mb"].points[0].value + tables + answers

    @cached_property
    def jobs_in_memory(self) -> int:
        """Unfinished jobs at which the memory is used up."""
        each = self._slopes["memory_mb_by_jobs"].line.per_size
        return max(0, int((MEMORY_LIMIT_MB - self.memory_without_jobs) / each))

    @cached_property
    def read_rate(self) -> float:
        """Reads of the platform a second by one instance; a watch counts as one."""
        return (
            self._slopes["calls_ListInstances"].line.per_size
            + self._slopes["calls_WatchKey"].line.per_size
            + CHANGES_PER_SECOND
        )

    @cached_property
    def write_rate(self) -> float:
        """Writes to the platform a second by one instance."""
        return self._slopes["calls_RenewLease"].line.per_size

    @cached_property
    def largest_view(self) -> int:
        """The most instances at which every instance counts all as live."""
        points = self._slopes["live_seen"].points
        return int(max(one.size for one in points if one.value >= one.size))


def read_figures(slopes: Path, spread: Path) -> Figures:
    """Return the figures from the two files of results."""
    results = structure(json.loads(slopes.read_text(encoding="utf-8")), Results)
    values = json.loads(spread.read_text(encoding="utf-8"))
    return Figures(results, structure(values["spreads"], list[Spread]))
