"""State of runners and of their runs, as known to the scheduler."""

from collections.abc import Container
from enum import StrEnum

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs.crash_history import StartRule
from sassafrasloft.workload import Resources


@attrs.frozen
class RunnerEntry:
    """Registration of a runner in the store.

    Parameters
    ----------
    runner_id : str
        Unchanged when the runner restarts.
    service, address, zone : str
    draining : bool
        Whether the runner is about to leave.
    capacity : Resources
    labels : tuple of str
        The kind and the rack of the runner.
    started_at_ms : int
        Start of the process in Unix time; -1 if unknown.
    remaining_ms : int
        Minimum time until a draining runner leaves.
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


ENTRY_GRACE_MS = 2_500
"""How long a restarted runner waits for its new entry while the store answers."""
LIST_OVERDUE_MS = 1_300
"""Age of the list of runners, which is read each second, that shows that the store does
not answer."""
STALL_FRACTION = 0.2
"""A run without progress for this fraction of its expected duration is stalled. Runners
report whole percents, and the longest tasks take four times as long as expected."""
MIN_STALL_MS = 60
"""About the time for one percent of a 200 ms task that takes four times as long as
expected, on a runner that is eight times slower."""


class RunState(StrEnum):
    """State of a run as known to its scheduler."""

    STARTING = "starting"
    RUNNING = "running"
    UNCERTAIN = "uncertain"
    """The start got no reply: the run may have started or may still start."""
    STOPPING = "stopping"


@attrs.define(eq=False)
class Run:
    """One start of a task on a runner."""

    task: str
    number: int
    runner_id: str
    demand: Resources
    expected_ms: float
    """Duration on a healthy runner in the rack of the task's data."""
    state: RunState
    sent_at: Milliseconds
    accepted_at: Milliseconds = -1
    accepted_sequence: int = 0
    """Id issued by this process when the start was accepted. Calls with higher ids were
    made later."""
    stop_confirmed_sequence: int = 0
    """Id issued when the runner confirmed a stop; 0 without a confirmation."""
    stop_call: int = 0
    """The open call of a stop; 0 if there is none."""
    stop_sent_at: Milliseconds = -1
    """When a stop was last sent; -1 if none was."""
    stop_failed: bool = False
    """Whether a stop was rejected or got no reply."""
    lease_until: Milliseconds = 0
    """Latest expiry of the lease on the local clock; by then the runner has ended the
    run."""
    percent_done: float = 0.0
    progress_reported_at: Milliseconds = -1
    last_progress_at: Milliseconds = -1
    """When the run was accepted or a poll reply last showed progress."""
    adopted: bool = False
    """Whether a predecessor scheduler started the run."""
    away_factor: float = 1.0
    """Factor on the duration if the data is in another rack; 1 in the same rack."""
    start_rule: StartRule = StartRule.ANYWHERE
    """Where the task was allowed to start."""

    @property
    def expected_on_runner_ms(self) -> float:
        """The expected duration on a healthy runner in the rack of this run."""
        return self.expected_ms * self.away_factor

    @property
    def stall_limit_ms(self) -> float:
        """Time without progress after which the run counts as stalled."""
        return max(MIN_STALL_MS, STALL_FRACTION * self.expected_on_runner_ms)

    def record_progress(self, percent: float, now: Milliseconds) -> None:
        """Record the progress that a poll reply reports."""
        if percent > self.percent_done or self.last_progress_at < 0:
            self.last_progress_at = now
        self.percent_done = percent
        self.progress_reported_at = now


@attrs.define(eq=False)
class RunnerView:
    """A runner, its free capacity and the runs that it may have."""

    entry: RunnerEntry
    free: Resources
    runs: dict[str, Run] = attrs.field(factory=dict)
    unconfirmed_stops: dict[str, Run] = attrs.field(factory=dict)
    """Runs, by task, that are to stop and whose stop the runner has not confirmed."""
    contacted: bool = False
    """Whether the runner has listed its runs under the current fencing token."""
    contacted_at: Milliseconds = 0
    no_contact_since: Milliseconds = -1
    """When replies ceased or the fencing token changed; -1 while the runner replies.
    Only replies that prove that no run is unknown end such a time."""
    contact_rejected_at: Milliseconds = -1
    """When the runner last rejected a poll, if it has not been contacted yet."""
    clock_offset: Milliseconds | None = None
    """Lower bound of the runner's clock minus the local clock at `clock_read_at`."""
    process_started_at_ms: Milliseconds = -1
    entry_outdated_at: Milliseconds = -1
    """When a reply showed that the entry is of an earlier process; -1 if it is not. The
    new process may be of another kind, with other labels, capacity or service."""
    seen_end: int = 0
    lease_until: Milliseconds = 0
    last_answer_at: Milliseconds = -1
    long_poll_call: int = 0
    last_poll_at: Milliseconds = -1_000_000
    """When an immediate poll was last sent."""
    clock_read_at: Milliseconds = 0
    fenced: bool = False
    fenced_at: Milliseconds = 0
    missing_since: Milliseconds = -1
    excluded_until: Milliseconds = 0
    failing_jobs: set[str] = attrs.field(factory=set)
    """Jobs with failed runs on this runner since its last successful run."""
    quarantines: int = 0
    slowness: float = 1.0
    """Moving average of actual durations divided by expected durations."""
    slowness_updated_at: Milliseconds = 0
    unanswered: int = 0
    """Consecutive commands without a reply."""
    lost_starts: int = 0
    """Starts without a reply since the last accepted one. Consecutive lost starts count
    once if the runner replied to nothing in between."""
    start_lost_at: Milliseconds = -1
    suspect_runs: int = 0
    """Runs of tasks under which other runners were lost."""
    isolated_runs: int = 0
    """Runs beside which no other may start."""

    @property
    def runner_id(self) -> str:
        """The runner's id."""
        return self.entry.runner_id

    @property
    def has_outdated_entry(self) -> bool:
        """Whether the entry was written by an earlier process of the runner."""
        return 0 <= self.entry.started_at_ms < self.process_started_at_ms

    @property
    def is_idle(self) -> bool:
        """Whether the open long poll is all that a runner without runs needs."""
        return bool(
            self.long_poll_call
            and not self.runs
            and self.contacted
            and not self.unanswered
        )

    def add(self, run: Run) -> None:
        """Add a run and subtract its demand from the free capacity."""
        self.runs[run.task] = run
        self.free = self.free.minus(run.demand)
        self._count_restricted(run, 1)

    def _count_restricted(self, run: Run, change: int) -> None:
        self.suspect_runs += change * (run.start_rule is not StartRule.ANYWHERE)
        self.isolated_runs += change * (run.start_rule is StartRule.ALONE)

    def remove(self, run: Run) -> None:
        """Remove an ended run and return its demand to the free capacity."""
        if self.runs.pop(run.task, None) is not None:
            self.unconfirmed_stops.pop(run.task, None)
            self.free = self.free.plus(run.demand)
            self._count_restricted(run, -1)


@attrs.define(eq=False)
class RunnerPool:
    """All runners to which this instance may send commands.

    Parameters
    ----------
    active : bool
        Whether this instance schedules.
    zone : str
        The only availability zone for which it schedules; empty for all.
    away_factor : float
        Factor on the duration of a task outside the rack of its data.
    """

    active: bool = False
    zone: str = ""
    away_factor: float = 1.0
    acting: bool = False
    """Whether an unreachable predecessor scheduler may still be working."""
    entries: dict[str, RunnerEntry] = attrs.field(factory=dict)
    """The newest list of runners, kept whether or not this instance schedules."""
    entries_read_at: Milliseconds = -1
    list_revision: int = 0
    """Revision of the store at which the newest list was read; 0 if `entries` has
    runners that were not in that list."""
    runners_reported_at: Milliseconds = -1
    """When another instance last reported runners that were not in the list."""
    runners: dict[str, RunnerView] = attrs.field(factory=dict)
    live_runs: dict[str, Run] = attrs.field(factory=dict)
    """Runs by task; a task has at most one run on a live runner."""
    orphans: dict[str, Run] = attrs.field(factory=dict)
    """Runs by task that a runner listed and that belong to no known job."""
    activated_at: Milliseconds = 0
    guarded_services: frozenset[str] = frozenset()
    """Services whose runners reject what exceeds their capacity. Those of other
    services may start it, also of services that were removed or are not known yet."""
    evacuated_zones: frozenset[str] = frozenset()
    """Zones whose runners get no further tasks; their runs go on."""
    changed: bool = False
    """Whether free capacity or health has changed since tasks were last placed."""

    def usable(self, view: RunnerView, now: Milliseconds) -> bool:
        """Return whether new runs may be placed on a runner."""
        return (
            view.contacted
            and not view.fenced
            and not view.unconfirmed_stops
            and not view.entry.draining
            and view.entry.zone not in self.evacuated_zones
            and view.missing_since < 0
            and view.excluded_until <= now
            and view.unanswered == 0
            and not (view.quarantines and view.runs)
            and not (self._excludes_orphans(view) and self.has_orphans(view))
            and not (view.entry_outdated_at >= 0 and self._awaits_entry(view, now))
        )

    def _awaits_entry(self, view: RunnerView, now: Milliseconds) -> bool:
        """Return whether a runner takes no work until its new entry has been read.

        While the store does not answer, runners that reject what does not fit are used
        all the same.
        """
        is_recent = now - view.entry_outdated_at < ENTRY_GRACE_MS
        store_answers = now - self.entries_read_at < LIST_OVERDUE_MS
        is_guarded = view.entry.service in self.guarded_services
        return (is_recent and store_answers) or not is_guarded

    def _excludes_orphans(self, view: RunnerView) -> bool:
        """Return whether a runner takes no work beside runs of unknown demand.

        A runner that does not reject what exceeds its capacity would start too much.
        """
        return self.acting or view.entry.service not in self.guarded_services

    def runs_in(self, zones: Container[str]) -> int:
        """Return the number of runs on the runners of some zones."""
        return sum(
            len(view.runs) for view in self.runners.values() if view.entry.zone in zones
        )

    def factor_on(self, view: RunnerView, rack: str) -> float:
        """Return the factor on the duration of a task whose data is in a rack."""
        return 1.0 if not rack or view.entry.is_in(rack) else self.away_factor

    def has_orphans(self, view: RunnerView) -> bool:
        """Return whether a runner has orphaned runs."""
        return any(task in self.orphans for task in view.runs)

    def has_leases_to_renew(self, view: RunnerView) -> bool:
        """Return whether a runner has runs whose leases have to be renewed.

        Leases granted by a predecessor that may still be working are not renewed, so
        that they expire when it expects, and none while the stop of a run is not
        confirmed: a lease holds for all runs on a runner.
        """
        if view.unconfirmed_stops:
            return False
        return any(
            task not in self.orphans
            or not (self.acting or run.state is RunState.STOPPING)
            for task, run in view.runs.items()
        )

    def reserve(self, run: Run) -> None:
        """Add a new run and reserve its capacity; the task must have no other run."""
        if run.task in self.live_runs or run.task in self.orphans:
            raise ValueError(f"task {run.task} already has a run")
        self.live_runs[run.task] = run
        self.runners[run.runner_id].add(run)

    def adopt(self, task: str, demand: Resources, expected_ms: float) -> Run:
        """Take over an orphaned run that a predecessor scheduler started."""
        run = self.orphans.pop(task)
        self.live_runs[task] = run
        view = self.runners[run.runner_id]
        view.remove(run)
        run.demand = demand
        run.expected_ms = expected_ms
        view.add(run)
        return run

    def has_contacted(self, runner_id: str) -> bool:
        """Return whether a runner has listed its runs under the current token.

        It does not count while it is silent, as another scheduler may have used it.
        """
        view = self.runners.get(runner_id)
        if view is None or view.fenced:
            return False
        return view.contacted and view.no_contact_since < 0

    def unseen_runners(
        self, now: Milliseconds, lease_expiry_ms: Milliseconds
    ) -> dict[str, Milliseconds]:
        """Return the runners that may have runs unknown to this scheduler.

        Parameters
        ----------
        now : Milliseconds
        lease_expiry_ms : Milliseconds
            Time without contact after which the leases have expired, unless another
            scheduler renews them.

        Returns
        -------
        dict
            By runner, when these runs have ended at the latest.
        """
        unseen = {}
        for view in self.runners.values():
            if view.fenced:
                unseen[view.runner_id] = now + lease_expiry_ms
            elif 0 <= view.no_contact_since >= now - lease_expiry_ms:
                unseen[view.runner_id] = view.no_contact_since + lease_expiry_ms
        return unseen
