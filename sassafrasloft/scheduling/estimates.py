"""Estimates of task durations from measured runs.

Load pattern: declared durations deviate by up to 40% from measured ones, either in
the same direction for all jobs of a route or at random.
"""

import attrs

SAMPLE_WEIGHT = 0.05
"""Weight of a new sample in the moving averages: about the last 20 samples count, which
is one or two seconds of work."""
WARM_UP_SAMPLES = 20
"""Number of samples up to which the arithmetic mean and declared durations are used."""


@attrs.define
class RouteDurations:
    """Statistics of the tasks of one route.

    Parameters
    ----------
    mean_ms : float
        Moving average of the measured durations.
    bias : float
        Moving average of the ratio of measured to declared duration.
    """

    samples: int = 0
    mean_ms: float = 0.0
    bias: float = 1.0


class DurationEstimates:
    """Estimates of task durations by route."""

    def __init__(self) -> None:
        self._routes: dict[str, RouteDurations] = {}

    def record(self, route: str, declared_ms: float, measured_ms: float) -> None:
        """Record the duration of a task that completed."""
        durations = self._routes.setdefault(route, RouteDurations())
        durations.samples += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / min(durations.samples, WARM_UP_SAMPLES))
        durations.mean_ms += weight * (measured_ms - durations.mean_ms)
        if declared_ms > 0:
            ratio = min(4.0, measured_ms / declared_ms)
            durations.bias += weight * (ratio - durations.bias)

    def expected_ms(self, route: str, declared_ms: float) -> float:
        """Return the expected duration of a task in milliseconds."""
        durations = self._routes.get(route)
        if durations is None or durations.samples < WARM_UP_SAMPLES:
            return declared_ms
        if declared_ms <= 0:
            return durations.mean_ms
        return declared_ms * durations.bias

    def summary(self) -> dict[str, RouteDurations]:
        """Return the statistics by route, for logs."""
        return dict(self._routes)
