"""A row of docs/CAPACITY.md and the registry of its roles."""

from collections.abc import Callable

import attrs

from benchmarks.capacity_figures import Figures

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
