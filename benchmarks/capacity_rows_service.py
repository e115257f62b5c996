"""The rows of the operators' tool and of the platform's service."""

from benchmarks.capacity_figures import (
    CHANGES_PER_SECOND,
    PLATFORM_READS,
    PLATFORM_WRITES,
    RUNNERS,
    Figures,
)
from benchmarks.capacity_roles import (
    HOLDS,
    OPEN,
    ZONES,
    Row,
    register_role,
    verdict,
)


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


def _calls(figures: Figures, count: int, cost: str) -> list[Row]:
    """Return the rows of reads and writes by so many instances."""
    slopes = figures.slopes
    lists = count * slopes["calls_ListInstances"].line.per_size
    watches = count * slopes["calls_WatchKey"].line.per_size
    changed = count * CHANGES_PER_SECOND
    reads = count * figures.read_rate
    writes = count * figures.write_rate + CHANGES_PER_SECOND
    return [
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


@register_role("platform")
def platform_rows(figures: Figures) -> list[Row]:
    """Return the rows of the platform's service."""
    served = figures.planned * figures.list_bytes / 1e6
    starts = figures.planned // ZONES
    return [
        *_calls(figures, figures.planned, "at the target's cost of a task"),
        *_calls(figures, figures.today, "at today's cost of a task"),
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
