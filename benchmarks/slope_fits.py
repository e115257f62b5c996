"""Measured values by size, the straight line through them, and a registry."""

from collections.abc import Callable, Sequence

import attrs

SMALLEST_WEIGHTED = 1e-9
"""Values below this are weighted alike, so that a zero does not divide."""


@attrs.frozen
class Point:
    """One measured value at one size."""

    size: float
    value: float


@attrs.frozen
class Line:
    """A straight line: `base` plus `per_size` for each unit of size."""

    base: float
    per_size: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.per_size * size


@attrs.frozen
class Slope:
    """Values of one quantity by one size, all else fixed.

    Parameters
    ----------
    variable, unit : str
        What the size counts, and the unit of the values.
    fixed : str
        The sizes that were held fixed.
    residuals : list of float
        By point, the line's value divided by the measured one, minus 1.
    """

    name: str
    variable: str
    unit: str
    fixed: str
    points: list[Point]
    line: Line
    residuals: list[float]

    @property
    def worst_residual(self) -> float:
        """The largest deviation of the line from a measured value, as a share."""
        return max(abs(one) for one in self.residuals)

    def at(self, size: float) -> float:
        """Return the measured value at a size, or the line's if none was."""
        for point in self.points:
            if point.size == size:
                return point.value
        return self.line.at(size)


def fit_line(points: Sequence[Point]) -> Line:
    """Return the line with the least sum of squared relative deviations.

    Relative, because the sizes span two orders of magnitude and the small ones
    would otherwise not count.
    """
    weights = [1 / max(abs(point.value), SMALLEST_WEIGHTED) ** 2 for point in points]
    total = sum(weights)
    rows = list(zip(weights, points, strict=True))
    mean_size = sum(weight * point.size for weight, point in rows) / total
    mean_value = sum(weight * point.value for weight, point in rows) / total
    spread = sum(weight * (point.size - mean_size) ** 2 for weight, point in rows)
    joint = sum(
        weight * (point.size - mean_size) * (point.value - mean_value)
        for weight, point in rows
    )
    per_size = joint / spread if spread else 0.0
    return Line(mean_value - per_size * mean_size, per_size)


def make_slope(
    name: str, variable: str, unit: str, fixed: str, points: Sequence[Point]
) -> Slope:
    """Return a slope with its line and residuals."""
    line = fit_line(points)
    residuals = [
        line.at(point.size) / point.value - 1 if point.value else 0.0
        for point in points
    ]
    rounded = [Point(point.size, round(point.value, 6)) for point in points]
    return Slope(
        name,
        variable,
        unit,
        fixed,
        rounded,
        Line(round(line.base, 8), round(line.per_size, 8)),
        [round(one, 4) for one in residuals],
    )


Measurement = Callable[[], list[Slope]]
_MEASUREMENTS: dict[str, Measurement] = {}


def register_measurement(name: str) -> Callable[[Measurement], Measurement]:
    """Return a decorator that enters a measurement of one or several slopes."""

    def enter(measurement: Measurement) -> Measurement:
        if name in _MEASUREMENTS:
            raise ValueError(f"measurement {name!r} is registered twice")
        _MEASUREMENTS[name] = measurement
        return measurement

    return enter


def measurements() -> dict[str, Measurement]:
    """Return the measurements by name, in order of registration."""
    return dict(_MEASUREMENTS)
