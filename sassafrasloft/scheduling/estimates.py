"""Durations of tasks, learned from what ran.

Load pattern: declared durations are off by up to 40%, in the same direction for
all jobs of a route or at random.
"""

import attrs

WEIGHT = 0.05
"""Of a new sample: about the last 20 decide, one or two seconds of work."""
FIRST_SAMPLES = 20
"""Until then the plain mean is used."""


@attrs.define
class RouteDurations:
    """What is known of one route.

    Parameters
    ----------
    mean_ms : float
        Mean duration of tasks on sound runners.
    bias : float
        Mean of measured over declared duration.
    """

    samples: int = 0
    mean_ms: float = 0.0
    bias: float = 1.0


class DurationEstimates:
    """Estimates by route."""

    def __init__(self) -> None:
        self._routes: dict[str, RouteDurations] = {}

    def learn(self, route: str, declared_ms: float, measured_ms: float) -> None:
        """Take a task that ended as done."""
        known = self._routes.setdefault(route, RouteDurations())
        known.samples += 1
        weight = max(WEIGHT, 1.0 / min(known.samples, FIRST_SAMPLES))
        known.mean_ms += weight * (measured_ms - known.mean_ms)
        if declared_ms > 0:
            ratio = min(4.0, measured_ms / declared_ms)
            known.bias += weight * (ratio - known.bias)

    def expect(self, route: str, declared_ms: float) -> float:
        """Return the expected duration of a task in milliseconds."""
        known = self._routes.get(route)
        if known is None or known.samples < FIRST_SAMPLES:
            return declared_ms
        if declared_ms <= 0:
            return known.mean_ms
        return declared_ms * known.bias

    def summary(self) -> dict[str, RouteDurations]:
        """Return what is known, by route, for logs."""
        return dict(self._routes)
