"""Rewrites the tables of docs/CAPACITY.md from the measured results.

Usage: python -m benchmarks.capacity

Each table stands between ``<!-- begin NAME -->`` and ``<!-- end NAME -->``.
"""

import sys
from collections.abc import Callable, Iterable
from pathlib import Path

import benchmarks.capacity_rows
import benchmarks.capacity_rows_control
import benchmarks.capacity_rows_service  # noqa: F401 - fills the registry
from benchmarks import hot_spots, slope_results, spread
from benchmarks.capacity_figures import (
    CHANGES_PER_SECOND,
    RUNNERS,
    SLOTS,
    Figures,
    read_figures,
)
from benchmarks.capacity_roles import Row, roles
from benchmarks.pages import replace_table, table
from benchmarks.spread import ROUND_MS, Spread

PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"
RATES = (2_000, 20_000, 100_000, 200_000)
DELTA_BYTES = 400
"""A changed part of the settings: one runner or team with its names."""


def role_table(rows: Iterable[Row]) -> str:
    """Return the table of a role."""
    headings = (
        "load",
        "carried by",
        "measured by",
        "at the target size",
        "limit",
        "holds",
        "where it breaks, what is to change",
    )
    cells = [
        (r.load, r.mechanism, r.measured_by, r.result, r.limit, r.holds, r.remark)
        for r in rows
    ]
    return table(headings, cells)


def instances_table(figures: Figures) -> str:
    """Return how many instances carry a rate of starts."""
    costs = figures.costs
    headings = (
        "starts a second",
        f"at the target, {costs.target:.2f} ms a task",
        f"core alone, {costs.core:.3f} ms",
        f"whole process as measured, {costs.process:.2f} ms",
        "mean run time that fills all slots",
    )
    rows = [
        (
            f"{rate:,}",
            figures.instances(costs.target, rate),
            figures.instances(costs.core, rate),
            figures.instances(costs.process, rate),
            f"{RUNNERS * SLOTS / rate * 1_000:,.0f} ms",
        )
        for rate in RATES
    ]
    return table(headings, rows)


def machine_table(figures: Figures) -> str:
    """Return where the slopes were measured."""
    machine = figures.machine
    rows = [
        (
            "command",
            f"`{slope_results.COMMAND} --output={_relative(slope_results.RESULTS)}`",
        ),
        ("revision", figures.revision),
        ("duration", f"{figures.seconds:.0f} s"),
        ("cores", machine.cores),
        ("memory", f"{machine.memory_gb:.0f} GB"),
        ("processor", f"{machine.processor}, Python {machine.python}"),
        (
            "mean runnable processes before and after",
            f"{machine.load_before} and {machine.load_after}",
        ),
        (
            "200,000 rounds of a plain loop before and after",
            f"{machine.loop_before_ms} and {machine.loop_after_ms} ms",
        ),
    ]
    return table(("what", "value"), rows)


def _relative(path: Path) -> Path:
    return path.relative_to(PAGE.parents[1])


def slopes_table(figures: Figures) -> str:
    """Return each slope with its line and residuals."""
    headings = ("slope", "unit", "fixed", "sizes", "values", "line", "residuals")
    rows = []
    for one in figures.slopes.values():
        sizes = ", ".join(f"{point.size:g}" for point in one.points)
        values = ", ".join(f"{point.value:.4g}" for point in one.points)
        line = f"{one.line.base:.4g} + {one.line.per_size:.3g} x {one.variable}"
        residuals = ", ".join(f"{residual:+.0%}" for residual in one.residuals)
        rows.append((one.name, one.unit, one.fixed, sizes, values, line, residuals))
    return table(headings, rows)


def hot_spots_table(figures: Figures) -> str:
    """Return the functions with the most own time."""
    rows = [
        (
            f"`{spot.function}`",
            f"{spot.own_share:.1%}",
            f"{spot.whole_share:.1%}",
            f"{spot.calls_per_task:.1f}",
        )
        for spot in figures.hot_spots
    ]
    return table(("function", "own time", "with calls", "calls a task"), rows)


def spread_table(figures: Figures) -> str:
    """Return the ways in which news spreads."""
    document = figures.at("settings_bytes_by_runners_grouped", RUNNERS)
    headings = (
        "instances",
        "fault",
        "way",
        "time until all know",
        "never told",
        "platform reads a change",
        "messages an instance",
        "received B/s, whole document",
        "sent B/s by the busiest, whole document",
        f"the same, {DELTA_BYTES} B parts",
        "links, mean and most",
    )
    return table(headings, [_spread_cells(one, document) for one in figures.spreads])


def _spread_cells(one: Spread, document: float) -> tuple[object, ...]:
    busiest = one.most_documents * CHANGES_PER_SECOND
    return (
        one.instances,
        one.fault,
        one.way,
        f"{one.rounds * ROUND_MS / 1_000:.1f} s, at most "
        f"{one.worst_rounds * ROUND_MS / 1_000:.1f} s",
        one.unreached,
        one.platform_reads,
        f"{one.notices + one.documents:.2f}",
        f"{document * CHANGES_PER_SECOND:.0f}",
        f"{busiest * document:.0f}",
        f"{busiest * DELTA_BYTES:.0f}",
        f"{one.links:.1f}, {one.most_links}",
    )


TABLES: dict[str, Callable[[Figures], str]] = {
    "instances": instances_table,
    "machine": machine_table,
    "slopes": slopes_table,
    "hot-spots": hot_spots_table,
    "spread": spread_table,
    **{
        name: lambda figures, maker=maker: role_table(maker(figures))
        for name, maker in roles().items()
    },
}


def fill_page(text: str, figures: Figures) -> str:
    """Return the page with each table made anew.

    Raises
    ------
    ValueError
        If the markers of a table are not on the page exactly once.
    """
    for name, make in TABLES.items():
        text = replace_table(text, name, make(figures))
    return text


def main() -> int:
    """Rewrite the page."""
    figures = read_figures(slope_results.RESULTS, spread.RESULTS, hot_spots.RESULTS)
    text = PAGE.read_text(encoding="utf-8")
    PAGE.write_text(fill_page(text, figures), encoding="utf-8")
    print(f"wrote {PAGE}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
