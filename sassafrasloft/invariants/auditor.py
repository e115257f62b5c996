"""Checks invariants and records violations."""

from collections.abc import Callable
from enum import StrEnum

from sassafrasloft.errors import InvariantViolated
from sassafrasloft.invariants.registry import Invariant


class InvariantChecker:
    """Counts checks and violations of invariants; raises violations when strict.

    Parameters
    ----------
    strict : bool
        Whether a violation raises `InvariantViolated`. Tests and randomised
        runs are strict. A serving process only counts and logs violations,
        because stopping would fail unrelated jobs.
    kinds : StrEnum class
        The invariants that the program checks.

    Attributes
    ----------
    on_violation : callable or None
        Called with the invariant and the details of each violation, before it
        is raised.
    """

    def __init__(self, strict: bool = True, kinds: type[StrEnum] = Invariant) -> None:
        self._strict = strict
        self._checks = dict.fromkeys(kinds, 0)
        self._violations = dict.fromkeys(kinds, 0)
        self.on_violation: Callable[[StrEnum, str], None] | None = None

    @property
    def checks(self) -> dict[StrEnum, int]:
        """Number of checks of each invariant."""
        return dict(self._checks)

    @property
    def violations(self) -> dict[StrEnum, int]:
        """Number of violations of each invariant."""
        return dict(self._violations)

    def check(self, invariant: StrEnum, holds: bool, detail: str = "") -> bool:
        """Count a check of an invariant and return `holds`.

        Raises
        ------
        InvariantViolated
            If the invariant does not hold and the auditor is strict.
        """
        self._checks[invariant] += 1
        if holds:
            return True
        self._violations[invariant] += 1
        detail = detail or "condition is false"
        if self.on_violation is not None:
            self.on_violation(invariant, detail)
        if self._strict:
            raise InvariantViolated(invariant.value, detail)
        return False
