"""Counting and raising of violated invariants."""

from collections.abc import Callable
from enum import StrEnum

from sassafrasloft.errors import InvariantViolated
from sassafrasloft.invariants.registry import Invariant


class Auditor:
    """Checks conditions, counts violations and raises them when strict.

    Parameters
    ----------
    strict : bool
        Whether a violation raises. Tests and randomised runs are strict; a
        serving process counts and logs, since stopping would harm other jobs;
        `on_violation` is called with the invariant and what was found.
    kinds : StrEnum class
        The invariants of the program.
    """

    def __init__(self, strict: bool = True, kinds: type[StrEnum] = Invariant) -> None:
        self._strict = strict
        self._checks = dict.fromkeys(kinds, 0)
        self._violations = dict.fromkeys(kinds, 0)
        self.on_violation: Callable[[StrEnum, str], None] | None = None

    @property
    def checks(self) -> dict[StrEnum, int]:
        """How often each invariant was checked."""
        return dict(self._checks)

    @property
    def violations(self) -> dict[StrEnum, int]:
        """How often each invariant did not hold."""
        return dict(self._violations)

    def check(self, invariant: StrEnum, holds: bool, detail: str = "") -> bool:
        """Record one check and return whether the invariant holds.

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
