"""The rows of an entry instance's control work."""

from benchmarks.capacity_figures import (
    CHANGES_PER_SECOND,
    CONTROL_BYTES,
    CONTROL_SHARE,
    CRASHES_PER_DAY,
    FANOUT,
    KEPT_ANSWERS,
    MAX_CANDIDATES,
    RESTARTS_PER_DAY,
    RUNNERS,
    Figures,
)
from benchmarks.capacity_roles import (
    HOLDS,
    LONGEST_STEP_MS,
    Row,
    register_role,
    verdict,
)


def _sent_bytes(figures: Figures) -> list[Row]:
    gossip = figures.at("gossip_bytes_by_peers", 71)
    limit = f"{CONTROL_BYTES} B/s"
    grouped = figures.document_rate("grouped")
    named = figures.document_rate("named")
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
    ]


def _all_bytes(figures: Figures) -> list[Row]:
    gossip = figures.at("gossip_bytes_by_peers", 71)
    limit = f"{CONTROL_BYTES} B/s"
    total = 2 * gossip + figures.document_rate("grouped") + figures.list_bytes
    return [
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
    fences = figures.slopes["fences_by_survivors"].points
    last = fences[-1]
    shared = max(one.size for one in fences if one.value <= 24)
    worst = survivors * RUNNERS
    daily = RUNNERS * (RESTARTS_PER_DAY + CRASHES_PER_DAY)
    return [
        *_sent_bytes(figures),
        *_all_bytes(figures),
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
            "a survivor that is asked fences every runner and tells peers",
            "fences",
            f"{last.value / 24:g} for each runner with {last.size:g} survivors; at "
            f"most {worst:,} with {survivors}",
            "one for each runner",
            verdict(last.value, 24),
            f"one for each runner up to {shared:g} survivors, above that not all "
            f"hear the result of another one; {CRASHES_PER_DAY} crashes a day; fence "
            "only runners that the gone instance could use",
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
