"""What a scheduler knows of runners and of the runs on them."""

from enum import StrEnum

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.workload import Resources


@attrs.frozen
class RunnerEntry:
    """A runner as it registers itself.

    Parameters
    ----------
    runner_id : str
        Stays with a runner that restarts.
    service, address, zone : str
    draining : bool
        Whether it is about to leave.
    capacity : Resources
    labels : tuple of str
        Its kind and its rack.
    started_at_ms : int
        When its process started, since 1970; -1 if unknown.
    remaining_ms : int
        While draining: the least time that is left.
    """

    runner_id: str
    service: str
    address: str
    zone: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...] = ()
    started_at_ms: Milliseconds = -1
    remaining_ms: Milliseconds = 0

    def is_in(self, rack: str) -> bool:
        """Return whether the runner's machine is in a rack."""
        return rack in self.labels


STALL_SHARE = 0.2
"""Of a run's expected duration: without progress for so long it stands still. Runners
tell whole percents, and the longest tasks take four times as long as expected."""
SHORTEST_STALL_MS = 60
"""About what one percent of a task of 200 ms takes that is four times as long, on a
runner that is eight times slow."""


class RunState(StrEnum):
    """How far a run is, as its scheduler believes."""

    STARTING = "starting"
    RUNNING = "running"
    UNCERTAIN = "uncertain"
    """The start got no answer: it may run, or start later."""
    STOPPING = "stopping"


@attrs.define(eq=False)
class Run:
    """One start of a task on a runner."""

    task: str
    number: int
    runner_id: str
    demand: Resources
    expected_ms: float
    """On a sound runner in the rack of the task's data."""
    state: RunState
    sent_at: Milliseconds
    accepted_at: Milliseconds = -1
    accepted_id: int = 0
    """An id of this process given out as the start was accepted; calls with higher
    ids were made later."""
    stop_confirmed_id: int = 0
    """The same for the answer to a stop; 0 if there was none."""
    lease_until: Milliseconds = 0
    """By our clock, at the latest; then the runner has ended the run."""
    percent_done: float = 0.0
    percent_read_at: Milliseconds = -1
    progress_at: Milliseconds = -1
    """When it was accepted, or a list last showed that more of it was done."""
    adopted: bool = False
    """Whether an earlier scheduler started it."""
    away_factor: float = 1.0
    """How many times as long it takes since its data is in another rack."""

    @property
    def expected_here_ms(self) -> float:
        """The expected duration on a sound runner of this rack."""
        return self.expected_ms * self.away_factor

    @property
    def stall_ms(self) -> float:
        """After how long without progress it is taken to stand still."""
        return max(SHORTEST_STALL_MS, STALL_SHARE * self.expected_here_ms)

    def note_progress(self, percent: float, now: Milliseconds) -> None:
        """Take what a list says of how much is done."""
        if percent > self.percent_done or self.progress_at < 0:
            self.progress_at = now
        self.percent_done = percent
        self.percent_read_at = now


@attrs.define(eq=False)
class RunnerView:
    """A runner, its room and the runs that are believed to be on it."""

    entry: RunnerEntry
    free: Resources
    runs: dict[str, Run] = attrs.field(factory=dict)
    contacted: bool = False
    """Whether it has answered under the fencing token in force."""
    contacted_at: Milliseconds = 0
    out_of_touch_since: Milliseconds = -1
    """When its answers ended, or its token changed; -1 while it answers."""
    clock_offset: Milliseconds | None = None
    """The runner's clock less ours at `clock_read_at`, never too high."""
    born_at_ms: Milliseconds = -1
    seen_end: int = 0
    lease_until: Milliseconds = 0
    last_answer_at: Milliseconds = -1
    hold_call: int = 0
    tried_at: Milliseconds = -1_000_000
    """When a look was last sent."""
    clock_read_at: Milliseconds = 0
    fenced: bool = False
    fenced_at: Milliseconds = 0
    missing_since: Milliseconds = -1
    unusable_until: Milliseconds = 0
    failing_jobs: set[str] = attrs.field(factory=set)
    """Jobs with failed runs here since the last run that ended as done."""
    quarantines: int = 0
    slowness: float = 1.0
    """Durations here over expected durations, smoothed."""
    slowness_at: Milliseconds = 0
    unanswered: int = 0
    """Orders in a row without an answer."""
    lost_starts: int = 0
    """Starts without an answer since the last one that was accepted; those that were
    lost before the runner answered anything else count as one."""
    start_lost_at: Milliseconds = -1

    @property
    def runner_id(self) -> str:
        """The runner's id."""
        return self.entry.runner_id

    def add(self, run: Run) -> None:
        """Charge a run against the room."""
        self.runs[run.task] = run
        self.free = self.free.minus(run.demand)

    def remove(self, run: Run) -> None:
        """Free the room of a run that has ended."""
        if self.runs.pop(run.task, None) is not None:
            self.free = self.free.plus(run.demand)


@attrs.define(eq=False)
class RunnerPool:
    """All runners that this instance may give orders to.

    Parameters
    ----------
    active : bool
        Whether this instance schedules.
    zone : str
        The only availability zone that it schedules for; empty for all.
    away_factor : float
        How many times as long a task takes away from the rack of its data.
    """

    active: bool = False
    zone: str = ""
    away_factor: float = 1.0
    acting: bool = False
    """Whether the scheduler before may still be at work out of reach."""
    entries: dict[str, RunnerEntry] = attrs.field(factory=dict)
    """The newest list of runners, kept whether or not this instance schedules."""
    entries_read_at: Milliseconds = -1
    offered_at: Milliseconds = -1
    """When another instance last told of runners that were not listed."""
    runners: dict[str, RunnerView] = attrs.field(factory=dict)
    live_runs: dict[str, Run] = attrs.field(factory=dict)
    """By task; at most one run of a task is on a live runner."""
    orphans: dict[str, Run] = attrs.field(factory=dict)
    """Runs that a runner listed and that no known job asked for."""
    activated_at: Milliseconds = 0
    changed: bool = False
    """Whether room or health changed since tasks were last placed."""

    def usable(self, view: RunnerView, now: Milliseconds) -> bool:
        """Return whether new runs may be placed on a runner."""
        return (
            view.contacted
            and not view.fenced
            and not view.entry.draining
            and view.missing_since < 0
            and view.unusable_until <= now
            and view.unanswered == 0
            and not (view.quarantines and view.runs)
            and not (self.acting and self.has_orphans(view))
        )

    def factor_on(self, view: RunnerView, rack: str) -> float:
        """Return how many times as long a task takes whose data is in a rack."""
        return 1.0 if not rack or view.entry.is_in(rack) else self.away_factor

    def has_orphans(self, view: RunnerView) -> bool:
        """Return whether a runner has runs that no known job asked for."""
        return any(task in self.orphans for task in view.runs)

    def keeps_runs(self, view: RunnerView) -> bool:
        """Return whether a runner has runs whose leases are to be prolonged.

        Those of a scheduler that may still be at work have to end in the time that
        it expects.
        """
        return any(
            task not in self.orphans
            or not (self.acting or run.state is RunState.STOPPING)
            for task, run in view.runs.items()
        )

    def reserve(self, run: Run) -> None:
        """Charge a new run; the task must have no other run."""
        if run.task in self.live_runs or run.task in self.orphans:
            raise ValueError(f"task {run.task} has a run already")
        self.live_runs[run.task] = run
        self.runners[run.runner_id].add(run)

    def adopt(self, task: str, demand: Resources, expected_ms: float) -> Run:
        """Take over a run that an earlier scheduler started."""
        run = self.orphans.pop(task)
        self.live_runs[task] = run
        view = self.runners[run.runner_id]
        view.remove(run)
        run.demand = demand
        run.expected_ms = expected_ms
        view.add(run)
        return run

    def unknown_runs_possible(self, now: Milliseconds, lapse_ms: Milliseconds) -> bool:
        """Return whether a runner may have runs that are not known here.

        Parameters
        ----------
        now : Milliseconds
        lapse_ms : Milliseconds
            After this without contact its leases have ended, unless another
            scheduler holds them.
        """
        return any(
            view.fenced or 0 <= now - view.out_of_touch_since <= lapse_ms
            for view in self.runners.values()
            if view.out_of_touch_since >= 0 or view.fenced
        )
