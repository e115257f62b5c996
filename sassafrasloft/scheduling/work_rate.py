"""Rate at which work arrives, by service."""

import math

import attrs

from sassafrasloft.clock import Milliseconds

TIME_CONSTANT_MS = 500
"""Time constant of the moving average; some tens of jobs arrive within it."""


@attrs.define
class _ServiceRate:
    """Decayed sum of the work of one service, as of `updated_at`."""

    work: float = 0.0
    updated_at: Milliseconds = 0


class WorkRate:
    """Exponentially weighted moving average of the work that arrives.

    Work is in millicore-milliseconds, so that the rate is in millicores.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceRate] = {}

    def record(self, service: str, work: float, now: Milliseconds) -> None:
        """Add the work of a job that arrives, in millicore-milliseconds."""
        rate = self._services.setdefault(service, _ServiceRate(0.0, now))
        rate.work = self._decayed(rate, now) + work
        rate.updated_at = now

    def millicores(self, service: str, now: Milliseconds) -> float:
        """Return the average number of millicores that arriving work occupies."""
        rate = self._services.get(service)
        return self._decayed(rate, now) / TIME_CONSTANT_MS if rate else 0.0

    @staticmethod
    def _decayed(rate: _ServiceRate, now: Milliseconds) -> float:
        return rate.work * math.exp((rate.updated_at - now) / TIME_CONSTANT_MS)
