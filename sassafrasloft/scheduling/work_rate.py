"""How much of the runners' room new jobs take, by service."""

import math

import attrs

from sassafrasloft.clock import Milliseconds

WINDOW_MS = 500
"""Time constant of the average: some tens of jobs arrive in it."""


@attrs.define
class _ServiceRate:
    work: float = 0.0
    noted_at: Milliseconds = 0


class WorkRate:
    """Exponentially weighted rate at which work arrives.

    Work is in millicore-milliseconds, so that the rate is in millicores.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceRate] = {}

    def note(self, service: str, work: float, now: Milliseconds) -> None:
        """Add the work of a job that arrives."""
        rate = self._services.setdefault(service, _ServiceRate(0.0, now))
        rate.work = self._decayed(rate, now) + work
        rate.noted_at = now

    def millicores(self, service: str, now: Milliseconds) -> float:
        """Return how many millicores the work that arrives keeps busy."""
        rate = self._services.get(service)
        return self._decayed(rate, now) / WINDOW_MS if rate else 0.0

    @staticmethod
    def _decayed(rate: _ServiceRate, now: Milliseconds) -> float:
        return rate.work * math.exp((rate.noted_at - now) / WINDOW_MS)
