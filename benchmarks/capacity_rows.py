"""The rows of docs/CAPACITY.md: what carries each load, and whether it holds."""

from collections.abc import Callable

import attrs

from benchmarks.capacity_figures import (
    CHANGES_PER_SECOND,
    CONTROL_BYTES,
    CONTROL_SHARE,
    CRASHES_PER_DAY,
    FANOUT,
    JOB_TASKS,
    JOBS_IN_FLIGHT,
    KEPT_ANSWERS,
    MAX_CANDIDATES,
    MEMORY_LIMIT_MB,
    PLATFORM_READS,
    PLATFORM_WRITES,
    RESTARTS_PER_DAY,
    RUNNERS,
    SLOTS,
    TASK_TARGET_MS,
    TEAMS,
    Figures,
)

HOLDS = "yes"
FAILS = "**no**"
OPEN = "open"
ZONES = 8
CONNECTIONS = 64
SERIALS = 72_000
"""100 jobs a second for as long as ids are valid and kept, 720 s."""

LONGEST_STEP_MS = 50.0
"""The shortest task; a longer step of the core delays every other task."""


@attrs.frozen
class Row:
    """One load on one role.

    Parameters
    ----------
    measured_by : str
        The part of ``benchmarks.slopes --only=``, or how it is computed.
    holds : str
        `HOLDS`, `FAILS`, or `OPEN` if nothing measured decides it.
    remark : str
        Where it breaks and what is to change.
    """

    load: str
    mechanism: str
    measured_by: str
    result: str
    limit: str
    holds: str
    remark: str = ""


RowMaker = Callable[[Figures], list[Row]]
_ROLES: dict[str, RowMaker] = {}


def register_role(name: str) -> Callable[[RowMaker], RowMaker]:
    """Return a decorator that enters the rows of a role under its marker."""

    def enter(maker: RowMaker) -> RowMaker:
        _ROLES[name] = maker
        return maker

    return enter


def roles() -> dict[str, RowMaker]:
    """Return the makers of rows by the marker of their table."""
    return dict(_ROLES)


def verdict(value: float, limit: float) -> str:
    """Return whether a value is within its limit."""
    return HOLDS if value <= limit else FAILS


def _task_times(figures: Figures) -> list[Row]:
    costs = figures.costs
    today = figures.at("job_ms_by_runners", 24) / JOB_TASKS
    team_ms = figures.at("task_ms_by_teams", TEAMS)
    waiting_ms = figures.at("task_ms_by_waiting", 16_000)
    limit = f"{TASK_TARGET_MS} ms"
    return [
        Row(
            f"a task in the core, jobs of {JOB_TASKS}",
            "DecisionCore.step",
            "job_by_runners",
            f"{costs.core:.3f} ms ({today:.3f} ms with 24 runners)",
            limit,
            verdict(costs.core, TASK_TARGET_MS),
            "grows with runners: admission adds up the slots of all runners for "
            "each job",
        ),
        Row(
            f"a task in the core, {TEAMS} teams waiting",
            "order by team, quotas",
            "task_by_teams",
            f"{team_ms:.3f} ms, 24 runners",
            limit,
            verdict(team_ms, TASK_TARGET_MS),
            "near the limit, and runs differ by more than that",
        ),
        Row(
            "a task in the core, 16,000 waiting",
            "order by job",
            "task_by_waiting",
            f"{waiting_ms:.3f} ms, 24 runners",
            limit,
            verdict(waiting_ms, TASK_TARGET_MS),
            "does not grow with waiting tasks",
        ),
        Row(
            f"a task in the whole process, jobs of {JOB_TASKS}",
            "threads of waitress and urllib3, JSON lines, one lock of Python",
            "live",
            f"{costs.process:.2f} ms, 12 runners",
            limit,
            verdict(costs.process, TASK_TARGET_MS),
            f"{1_000 / costs.process:.0f} tasks a second fill a core; the edge "
            "towards runners has to read many streams in one thread, with fewer "
            "wake-ups a task",
        ),
    ]


def _memory(figures: Figures) -> list[Row]:
    jobs = JOBS_IN_FLIGHT * figures.slopes["memory_mb_by_jobs"].line.per_size
    rest = figures.memory_without_jobs
    total = rest + jobs
    peak = figures.at("parse_peak_mb_by_runners", RUNNERS)
    return [
        Row(
            f"{JOBS_IN_FLIGHT} jobs of {JOB_TASKS} tasks, {KEPT_ANSWERS} answers",
            "records of jobs and answers",
            "live, memory_of_jobs, memory_of_tables",
            f"{total:.0f} MB: {rest:.0f} without jobs, {jobs:.0f} for jobs",
            f"{MEMORY_LIMIT_MB} MB",
            verdict(total, MEMORY_LIMIT_MB),
            f"breaks at {figures.jobs_in_memory} jobs; imports alone take "
            f"{figures.imports_mb:.0f} MB; import less, keep fewer answers",
        ),
        Row(
            "checking settings that name every runner",
            "parse_document",
            "memory_of_parsing",
            f"{peak:.0f} MB more for a moment",
            f"{MEMORY_LIMIT_MB} MB in all",
            verdict(total + peak, MEMORY_LIMIT_MB),
            "documents in groups, and only their changed parts",
        ),
    ]


def _places(figures: Figures) -> list[Row]:
    planned = figures.planned
    reach = -(-RUNNERS // MAX_CANDIDATES)
    purge = figures.at("purge_ms_by_serials", SERIALS)
    seen = figures.largest_view
    most = figures.slopes["live_seen"].points[-1]
    return [
        Row(
            "expired serials",
            "purge every 30 s",
            "purge_by_serials",
            f"{purge:.1f} ms with {SERIALS:,} serials",
            f"{LONGEST_STEP_MS:.0f} ms a step",
            verdict(purge, LONGEST_STEP_MS),
            "keep serials in the order in which they expire",
        ),
        Row(
            "reaching every runner",
            f"MAX_CANDIDATES, {MAX_CANDIDATES} runners an instance",
            "computed",
            f"{planned} instances reach {min(RUNNERS, planned * MAX_CANDIDATES):,}",
            f"{RUNNERS:,} runners",
            verdict(RUNNERS, planned * MAX_CANDIDATES),
            f"breaks below {reach} instances, or below "
            f"{-(-RUNNERS // ZONES // MAX_CANDIDATES)} in a zone; one instance uses "
            f"{MAX_CANDIDATES * SLOTS} slots at most",
        ),
        Row(
            "connections to a runner",
            "connections // instances, at least 1",
            "computed",
            f"share {CONNECTIONS // planned or 1} with {planned} instances",
            f"{CONNECTIONS} over all",
            verdict(planned, CONNECTIONS),
            f"not kept above {CONNECTIONS} instances, and one open delivery holds "
            "back all slots of a runner until its last task ends; divide by the "
            "instances that have the runner among their candidates",
        ),
        Row(
            "quotas and home runners",
            "live peers by gossip heard within 3 s",
            "live_instances",
            f"an instance counts {most.value:.1f} of {most.size:.0f} as live",
            f"{planned} instances",
            verdict(planned, seen),
            f"breaks above {seen} instances (fanout {FANOUT} and itself): peers "
            "outside the fanout count as silent, quotas are exceeded and homes "
            "overlap; tell second-hand who is alive",
        ),
    ]


@register_role("entry")
def entry_rows(figures: Figures) -> list[Row]:
    """Return the rows of an entry instance under callers' load."""
    return [*_task_times(figures), *_memory(figures), *_places(figures)]


def _control_bytes(figures: Figures) -> list[Row]:
    gossip = figures.at("gossip_bytes_by_peers", 71)
    limit = f"{CONTROL_BYTES} B/s"
    grouped = figures.document_rate("grouped")
    named = figures.document_rate("named")
    total = 2 * gossip + grouped + figures.list_bytes
    return [
        Row(
            "gossip sent, 71 peers",
            f"fanout {FANOUT}, tables by position, budget of bytes",
            "gossip",
            f"{gossip:.0f} B/s",
            limit,
            verdict(gossip, CONTROL_BYTES),
            "as much is received",
        ),
        Row(
            "settings, runners in groups",
            "one value, sent whole on each change",
            "settings",
            f"{grouped:.0f} B/s",
            limit,
            verdict(grouped, CONTROL_BYTES),
            f"breaks at documents of {figures.largest_document} bytes; "
            f"{figures.teams_share:.0%} of it is teams; a value a section, of which "
            "only the changed one is sent",
        ),
        Row(
            "settings, each runner named",
            "the same",
            "settings",
            f"{named:.0f} B/s",
            limit,
            verdict(named, CONTROL_BYTES),
            "runners belong into the platform's list or groups, and not into the "
            "settings one by one",
        ),
        Row(
            "the platform's list",
            "read whole every 2 s",
            "list",
            f"{figures.list_bytes:.0f} B/s",
            limit,
            verdict(figures.list_bytes, CONTROL_BYTES),
            f"breaks at {figures.largest_list} entries, runners and instances "
            "together; a watch for changes after a revision, or the list of the "
            "own zone",
        ),
        Row(
            "all control bytes, sent and received",
            "the sum, with groups",
            "computed",
            f"{total:.0f} B/s",
            limit,
            verdict(total, CONTROL_BYTES),
            f"without list and settings, gossip takes {2 * gossip:.0f} B/s; the "
            "limit holds for bytes sent, which are gossip alone",
        ),
    ]


def _control_cpu(figures: Figures) -> list[Row]:
    limit = f"{CONTROL_SHARE:.1%} of a core"
    total = figures.idle_cpu + figures.gossip_cpu + figures.settings_cpu
    adopt = figures.at("settings_adopt_ms_by_runners", RUNNERS)
    return [
        Row(
            "gossip",
            "gather_content walks all runners each round",
            "gossip, gossip_received",
            f"{figures.gossip_cpu:.1%}",
            limit,
            verdict(figures.gossip_cpu, CONTROL_SHARE),
            "look only at runners whose load changed",
        ),
        Row(
            "changes of settings, each runner named",
            f"the whole document, {CHANGES_PER_SECOND:.3f} times a second",
            "settings",
            f"{figures.settings_cpu:.1%}",
            limit,
            verdict(figures.settings_cpu, CONTROL_SHARE),
            "check only the changed part",
        ),
        Row(
            "one change of settings",
            "checked and adopted in one step of the core",
            "settings",
            f"{adopt:.0f} ms",
            f"{LONGEST_STEP_MS:.0f} ms a step",
            verdict(adopt, LONGEST_STEP_MS),
            "holds up all tasks meanwhile; check outside the core's step",
        ),
        Row(
            "all control work",
            "the sum, and an idle process",
            "computed, live",
            f"{total:.1%}, of which idle process {figures.idle_cpu:.1%}",
            limit,
            verdict(total, CONTROL_SHARE),
            "check only the changed part of the settings, and walk no table of all "
            "runners; reading the platform's list is not included",
        ),
    ]


@register_role("control")
def control_rows(figures: Figures) -> list[Row]:
    """Return the rows of an entry instance's control work."""
    handed = figures.slopes["handover_bytes"].line.at(KEPT_ANSWERS)
    survivors = figures.planned - 1
    slope = figures.slopes["fences_by_survivors"]
    worst = survivors * RUNNERS
    daily = RUNNERS * (RESTARTS_PER_DAY + CRASHES_PER_DAY)
    return [
        *_control_bytes(figures),
        *_control_cpu(figures),
        Row(
            "a planned stop",
            "records to the heir in parts",
            "handover",
            f"{handed / 1_000:.0f} KB with {KEPT_ANSWERS} answers of 10 tasks",
            "20 s to finish",
            HOLDS,
            f"{RESTARTS_PER_DAY} a day over all instances",
        ),
        Row(
            "fences after a crash",
            "each survivor that is asked fences every runner",
            "fences",
            f"up to {worst:,} with {survivors} survivors; measured "
            f"{slope.points[-1].value:.0f} with {slope.points[-1].size:.0f} and 24 "
            "runners",
            "one for each runner",
            verdict(worst, RUNNERS),
            f"{CRASHES_PER_DAY} crashes a day; fence only runners that the gone "
            "instance could use, and let one survivor do it",
        ),
        Row(
            "probes of a start",
            "each instance probes every runner",
            "fences",
            f"{RUNNERS:,} at once, {daily:,} a day",
            f"{MAX_CANDIDATES} candidates",
            verdict(RUNNERS, MAX_CANDIDATES),
            "probe only candidates",
        ),
    ]


@register_role("operators")
def operators_rows(figures: Figures) -> list[Row]:
    """Return the rows of the operators' tool."""
    check = figures.at("settings_parse_ms_by_runners_named", RUNNERS)
    busy = CHANGES_PER_SECOND * (1 + ZONES) * check / 1_000
    status = figures.at("status_bytes_by_runners", RUNNERS)
    size = figures.at("settings_bytes_by_runners_named", RUNNERS)
    return [
        Row(
            "checking a document, each runner named",
            "once for the base and once a zone",
            "settings",
            f"{(1 + ZONES) * check / 1_000:.1f} s",
            "16 s until in force",
            verdict((1 + ZONES) * check / 1_000, 16),
            "parse the document once for all zones",
        ),
        Row(
            "concurrent edits",
            "compare-and-swap on one value",
            "computed",
            f"{busy:.0%} of edits begin while another one is checked",
            "no lost edit",
            HOLDS,
            "a conflict is shown with both edits; a value a section makes it rarer",
        ),
        Row(
            "size of the value",
            "one value",
            "settings",
            f"{size / 1_000:.0f} KB",
            "1 MB",
            verdict(size, 1_000_000),
            "groups of runners keep it short",
        ),
        Row(
            "status of all instances",
            "one request to each",
            "status",
            f"{figures.planned * status / 1e6:.0f} MB",
            "nothing stated",
            OPEN,
            "a summary by zone, and details of one runner on request",
        ),
    ]


@register_role("platform")
def platform_rows(figures: Figures) -> list[Row]:
    """Return the rows of the platform's service."""
    slopes = figures.slopes
    rows = []
    for count, cost in (
        (figures.planned, "at the target's cost of a task"),
        (figures.today, "at today's cost of a task"),
    ):
        lists = count * slopes["calls_ListInstances"].line.per_size
        watches = count * slopes["calls_WatchKey"].line.per_size
        changed = count * CHANGES_PER_SECOND
        reads = count * figures.read_rate
        writes = count * figures.write_rate + CHANGES_PER_SECOND
        rows += [
            Row(
                f"reads of {count} instances, {cost}",
                "list, watch of settings, watch again after a change",
                "platform_calls",
                f"{reads:.0f} a second: list {lists:.0f}, watch {watches:.0f}, "
                f"changes {changed:.0f}",
                f"{PLATFORM_READS} a second",
                verdict(reads, PLATFORM_READS),
                f"breaks at {PLATFORM_READS / figures.read_rate:.0f} instances",
            ),
            Row(
                f"writes of {count} instances, {cost}",
                "lease renewed every 3 s, published settings",
                "platform_calls",
                f"{writes:.0f} a second",
                f"{PLATFORM_WRITES} a second",
                verdict(writes, PLATFORM_WRITES),
                f"breaks at {PLATFORM_WRITES / figures.write_rate:.0f} instances",
            ),
        ]
    served = figures.planned * figures.list_bytes / 1e6
    starts = figures.planned // ZONES
    return [
        *rows,
        Row(
            "bytes of lists",
            "read whole by each instance",
            "list",
            f"{served:.1f} MB a second",
            "nothing stated",
            OPEN,
            "as above",
        ),
        Row(
            "a zone comes back",
            "a lease, a list and a read for each instance, with jitter",
            "computed",
            f"{starts} writes and {2 * starts} reads",
            f"{PLATFORM_WRITES} writes a second",
            verdict(starts, PLATFORM_WRITES),
            "the calls of an instance are limited to 5 a second too",
        ),
    ]
